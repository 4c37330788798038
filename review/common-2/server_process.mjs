/** Starts server stand-ins as processes of their own, and records what they tell. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { callAtEnd, finish, record } from "./record.mjs";

export class ServerProcess {
  /** `module` is the program; `options` are passed to it as JSON. */
  constructor(
    { module, options, onReport = () => {}, onListening = () => {} },
  ) {
    Object.assign(this, { module, options, onReport, onListening });
  }

  /** Starts it and waits until it listens. */
  async start() {
    const child = spawn(
      process.execPath,
      [this.module, JSON.stringify(this.options)],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    this.child = child;
    callAtEnd(() => child.kill("SIGKILL"));
    this.born = Date.now();
    const listening = new Promise((resolve) => {
      let text = "";
      child.stdout.on("data", (chunk) => {
        const lines = (text + chunk).split("\n");
        text = lines.pop();
        for (const line of lines) {
          const report = JSON.parse(line);
          if (report.event === "listening") {
            this.port = report.port;
            this.onListening(report);
            resolve();
          } else {
            record(`server: ${report.event}`, report);
            this.onReport(report);
          }
        }
      });
    });
    const ended = once(child, "exit").then(() => {
      record("a server's process ended", { id: this.options.id });
      return "ended";
    });
    this.ended = ended;
    if (await Promise.race([listening, ended]) === "ended") {
      finish(2, `the server ${this.options.id} could not start`);
    }
    record("a server's process listens", {
      id: this.options.id,
      address: this.address,
    });
  }

  get address() {
    return `${this.options.host}:${this.port}`;
  }

  signal(signal) {
    record("signal to a server", { id: this.options.id, signal });
    this.child.kill(signal);
  }

  /** The server's entry in the store. */
  buildEntry({ service, zone, phase = "up" }) {
    return {
      service,
      address: this.address,
      az: zone,
      version: "v1",
      slot_count: this.options.slots,
      phase,
      cold_left_ms: 0,
      call_seq: 1,
      born: this.born,
    };
  }
}

/** Tells the starting process something, in the program of a server. */
export function tell(event, fields) {
  process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);
}
