/** The program of the stand-ins: test support, no part of the product. */

import { Command } from "commander";
import { registerEngineCommand } from "./program/engine_command.ts";
import { registerPlainCommand } from "./program/plain_command.ts";
import { registerPlatformCommand } from "./program/platform_command.ts";
import { registerProxyCommand } from "./program/proxy_command.ts";

const program = new Command()
  .name("emulator")
  .description(
    "Test support: stand-ins of the systems around the routers. Each prints " +
      'a line {"ready":true,"port":N} once it listens and ends on SIGTERM. ' +
      "Not for production.",
  );
registerPlatformCommand(program);
registerEngineCommand(program);
registerPlainCommand(program);
registerProxyCommand(program);
await program.parseAsync();
