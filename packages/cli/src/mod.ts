/** The rattanvane command line. */

export type {
  CommandEnvironment,
  PlatformAccess,
  VmAnswer,
} from "./command_environment.ts";
export { ExitCode } from "./exit_code.ts";
export { createProgram, runCommandLine } from "./program.ts";
