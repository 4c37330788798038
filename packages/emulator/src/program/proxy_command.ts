/** The command that runs the fault-injecting proxy. */

import type { Command } from "commander";
import { SystemClock } from "@rattanvane/base";
import { ProxyServer } from "../proxy/proxy_server.ts";
import { addCommonOptions, type CommonOptions } from "./common_options.ts";
import { runProgram } from "./run_program.ts";

/** Registers `proxy`. */
export function registerProxyCommand(program: Command): void {
  addCommonOptions(
    program
      .command("proxy")
      .description(
        "Test support: forwards TCP and injects faults; --port is the admin's",
      ),
  )
    .action((options: CommonOptions) =>
      runProgram(async (signal) => {
        const server = new ProxyServer({
          ...options,
          clock: new SystemClock(),
        }, signal);
        await server.start();
        return { port: server.port };
      })
    );
}
