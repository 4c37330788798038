/** Starts the project's program as the deploy file says, one process a VM. */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** A process that is ended is started again after a short delay. */
const RESTART_MS = 500;

export const ROOT = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
);

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Reads the command of the role and the build's environment. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const command = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  const key = /RATTANVANE_FLEET_KEY = "([^"]*)"/.exec(text)[1];
  return { command, env: { RATTANVANE_FLEET_KEY: key } };
}

/** One VM: its settings file, its process and what the platform sees of it. */
class Vm {
  process;
  /** Every end of the process, whatever its cause. */
  ends = [];
  /** When the platform ended the process because of its memory. */
  exceeded = [];
  /** Whether the platform starts the process again after its end. */
  isRestarted = true;
  highestRssMb = 0;
  logs = [];
  #settings;
  #file;
  #limitMb;
  #timer;

  constructor({ name, host, ports, settings, folder, limitMb }) {
    this.name = name;
    this.host = host;
    this.front = { host, port: ports.front };
    this.ready = { host, port: ports.ready };
    this.#settings = settings;
    this.#limitMb = limitMb;
    this.#file = join(folder, `${name}.conf`);
  }

  start() {
    const { command, env } = readDeployFile();
    const text = Object.entries(this.#settings)
      .map(([key, value]) => `${key}=${value}\n`).join("");
    writeFileSync(this.#file, text);
    const child = spawn(process.execPath, command.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        RATTANVANE_NODE_FILE: this.#file,
        ...env,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.process = child;
    this.isRunning = true;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => this.#keepLog(chunk));
    }
    child.once("exit", (code, signal) => {
      this.isRunning = false;
      clearInterval(this.#timer);
      this.ends.push({ at: Date.now(), code, signal });
      if (this.isRestarted) {
        setTimeout(() => this.start(), RESTART_MS);
      }
    });
    this.#timer = setInterval(() => this.#checkMemory(child), 20);
  }

  /** The platform ends a process that exceeds `limits.ram_mb`. */
  #checkMemory(child) {
    let status;
    try {
      status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    } catch {
      return;
    }
    const kb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    const mb = kb / 1_024;
    this.highestRssMb = Math.max(this.highestRssMb, mb);
    if (mb > this.#limitMb && this.isRunning) {
      this.exceeded.push(Date.now());
      child.kill("SIGKILL");
    }
  }

  #keepLog(chunk) {
    this.logs.push(chunk.toString());
    if (this.logs.length > 4_000) {
      this.logs.shift();
    }
  }

  kill(signal) {
    if (this.isRunning) {
      this.process.kill(signal);
    }
  }

  async isReady() {
    return await new Promise((resolve) => {
      const request = get(
        { ...this.ready, path: "/v1/readyz", timeout: 1_000, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on("error", () => resolve(false));
      request.on("timeout", () => request.destroy());
    });
  }
}

/** The VMs of a small deployment; `zones` names the zone of each VM. */
export class Fleet {
  vms = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));

  constructor() {
    // A script that is ended early leaves no process behind.
    process.once("exit", () => this.vms.forEach((vm) => vm.kill("SIGKILL")));
    process.once("SIGTERM", () => process.exit());
    process.once("SIGINT", () => process.exit());
  }

  async create({ zones, storeAddress, ramMb, settings = {} }) {
    const ports = {
      front: await findFreePort("127.0.0.1"),
      ready: await findFreePort("127.0.0.1"),
      ctrl: await findFreePort("127.0.0.1"),
    };
    const hosts = zones.map((_zone, index) => `127.0.${index + 1}.10`);
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.ctrl}`);
    zones.forEach((zone, index) => {
      const host = hosts[index];
      const name = `edge-${zone}-${index + 1}`;
      this.vms.push(
        new Vm({
          name,
          host,
          ports,
          folder: this.#folder,
          limitMb: ramMb,
          settings: {
            node_name: name,
            node_role: "router",
            machine_class: "edge",
            tiers: "edge,ctrl",
            ip_addr: host,
            az: zone,
            rgn: "bkk",
            ...Object.fromEntries(
              zones.map((known) => [`zones.${known}`, "bkk"]),
            ),
            "bind.front": `${host}:${ports.front}`,
            "bind.ready": `${host}:${ports.ready}`,
            "bind.ctrl": `${host}:${ports.ctrl}`,
            port_range: "7400,7415",
            seed_nodes: seeds.join(","),
            bootstrap: "true",
            in_tolerance: "false",
            "limits.cpu_frac": "0.675",
            "limits.vcpus": "1",
            "limits.ram_mb": String(ramMb),
            "limits.max_fds": "4100",
            disco: "platform",
            ingress: "anycast",
            heartbeat_ms: "1200",
            "bounds.contact_ms": "3000",
            "bounds.drain_timeout_ms": "2000",
            "bounds.grace_period_s": "8",
            "bounds.apply_ms": "2000",
            "bounds.strict_revoke": "true",
            "bounds.revoke_timeout_ms": "5000",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_extra": "52",
            "bounds.cold_excess": "1.5",
            "bounds.cold_margin": "5",
            "bounds.quota_period_s": "4",
            "platform.address": storeAddress,
            "platform.form": "table",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            ...settings,
          },
        }),
      );
    });
  }

  async start() {
    for (const vm of this.vms) {
      vm.start();
    }
    const endsAt = Date.now() + 20_000;
    for (const vm of this.vms) {
      while (!await vm.isReady()) {
        if (Date.now() > endsAt) {
          throw new Error(`${vm.name} did not become ready`);
        }
        await sleep(100);
      }
    }
  }

  async close() {
    for (const vm of this.vms) {
      vm.isRestarted = false;
    }
    await sleep(RESTART_MS + 100);
    for (const vm of this.vms) {
      vm.kill("SIGCONT");
      vm.kill("SIGKILL");
    }
    await sleep(200);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
