/** Starts the project's program on VMs of its own addresses, as it is deployed. */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { callAtEnd, finish, record, waitUntil } from "./record.mjs";

const ROOT = resolve(import.meta.dirname, "../..");
const folder = mkdtempSync(join(tmpdir(), "review-"));
callAtEnd(() => rmSync(folder, { recursive: true, force: true }));

/** Reads the command and the environment of the role from the deploy file. */
function readDeployment() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [command, ...words] = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  const environment = /^env = \{ (\w+) = "(.*)" \}$/m.exec(text);
  return { command, words, env: { [environment[1]]: environment[2] } };
}

/** Finds a port that is free at all of these addresses. */
export async function findFreePort(hosts) {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 15_000);
    const areFree = await Promise.all(
      hosts.map((host) =>
        new Promise((resolve) => {
          const server = createServer();
          server.once("error", () => resolve(false));
          server.listen(port, host, () => server.close(() => resolve(true)));
        })
      ),
    );
    if (areFree.every(Boolean)) {
      return port;
    }
  }
}

/** One VM and its process. */
export class Vm {
  constructor(options) {
    Object.assign(this, options);
    this.lines = [];
  }

  start() {
    const { command, words, env } = readDeployment();
    const child = spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        RATTANVANE_NODE_FILE: this.file,
        ...env,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.child = child;
    callAtEnd(() => child.kill("SIGKILL"));
    let text = "";
    child.stdout.on("data", (chunk) => {
      const lines = (text + chunk).split("\n");
      text = lines.pop();
      this.lines.push(...lines);
    });
    child.once("exit", (code, signal) => {
      this.end = { code, signal };
      record("a VM's process ended", { vm: this.host, code, signal });
    });
  }

  signal(signal) {
    record("signal to a VM", { vm: this.host, signal });
    this.child.kill(signal);
  }

  isReady() {
    return new Promise((resolve) => {
      const request = get({
        host: this.host,
        port: this.ports.ready,
        path: "/v1/readyz",
        agent: false,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("error", () => resolve(false));
    });
  }
}

/**
 * Starts a VM for each zone that is listed, with the settings of a small
 * deployment, and waits until all are ready.
 */
export async function startFleet(
  { zones, names, region, store, settings = {} },
) {
  const hosts = zones.map((zone, index) =>
    `127.${20 + names.indexOf(zone)}.0.${33 + index}`
  );
  const ports = {
    front: await findFreePort(hosts),
    ready: await findFreePort(hosts),
    ctrl: await findFreePort(hosts),
  };
  const vms = zones.map((zone, index) => {
    const host = hosts[index];
    const fields = {
      node_name: `edge-${zone}-${index + 1}`,
      node_role: "router",
      machine_class: "edge",
      tiers: "edge,ctrl",
      ip_addr: host,
      az: zone,
      rgn: region,
      ...Object.fromEntries(names.map((name) => [`zones.${name}`, region])),
      "bind.front": `${host}:${ports.front}`,
      "bind.ready": `${host}:${ports.ready}`,
      "bind.ctrl": `${host}:${ports.ctrl}`,
      seed_nodes: hosts.slice(0, 3).map((seed) => `${seed}:${ports.ctrl}`)
        .join(","),
      bootstrap: true,
      "limits.cpu_frac": 0.675,
      "limits.vcpus": 1,
      "limits.ram_mb": 350,
      "limits.max_fds": 4_100,
      "limits.net_mbps": 1_000.0,
      heartbeat_ms: 1_200,
      "bounds.contact_ms": 3_000,
      "bounds.drain_timeout_ms": 2_000,
      "bounds.grace_period_s": 8,
      "bounds.apply_ms": 2_000,
      "bounds.strict_revoke": true,
      "bounds.revoke_timeout_ms": 5_000,
      "bounds.retry_ratio": 0.2,
      "bounds.retry_window_s": 10,
      "bounds.retry_extra": 52,
      "bounds.cold_excess": 1.5,
      "bounds.cold_margin": 5,
      "bounds.quota_period_s": 4,
      "platform.address": store,
      "platform.form": "table",
      "platform.writes_per_s": 400,
      "platform.reads_per_s": 2_000,
      ...settings,
    };
    const file = join(folder, `${index}.conf`);
    writeFileSync(
      file,
      Object.entries(fields).map(([key, value]) => `${key}=${value}\n`)
        .join(""),
    );
    return new Vm({ host, zone, ports, file });
  });
  vms.forEach((vm) => vm.start());
  for (const vm of vms) {
    await waitUntil(
      () => vm.end === undefined ? vm.isReady() : finish(2, "a VM ended"),
      `the VM ${vm.host}`,
    );
  }
  record("all VMs are ready", { vms: hosts });
  return vms;
}

/** The host name of all routes and the key of the one tenant. */
export const HOSTNAME = "one.example";
export const KEY = "asnmgkcuyj8pjbvk9m68";
export const TENANTS = [{ name: "hule930", api_keys: [KEY], priority: 1 }];

/** Builds a configuration from partial routes and services. */
export function buildConfiguration(
  {
    version = 1,
    routes,
    services,
    tenants = TENANTS,
    tokensPerSecond = 210_000,
  },
) {
  return {
    version,
    routes: routes.map((route) => ({
      hostname: HOSTNAME,
      priority: 1,
      attempts: 1,
      public: false,
      affinity: false,
      resumable: false,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/healthz",
      max_conns: 360,
      protocol: "h1",
      use_tls: false,
      cold_start_s: 0.0,
      cold_per_s: 0.0,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      tokens_per_s: tokensPerSecond,
    },
    tenants,
  };
}
