/** Where the programs are that a fleet is made of. */

import { fileURLToPath } from "node:url";

/** The stand-ins' program. */
export const EMULATOR_PROGRAM = findProgram("emulator/dist/main.js");

/** The router's and the operators' program. */
export const RATTANVANE_PROGRAM = findProgram("cli/bin/rattanvane.js");

function findProgram(path: string): string {
  return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}
