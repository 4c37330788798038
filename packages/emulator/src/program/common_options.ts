/** Command line options that all stand-ins share. */

import { type Command, InvalidArgumentError } from "commander";
import type { LogLevel } from "@rattanvane/base";

/** The values of the shared options. */
export interface CommonOptions {
  host: string;
  port: number;
  logLevel: LogLevel;
}

/** Adds the shared options to a command. */
export function addCommonOptions(command: Command): Command {
  return command
    .option("--host <ip>", "IP number to listen on", "127.0.0.1")
    .option("--port <number>", "port; 0 takes any", parseNumber, 0)
    .option("--log-level <level>", "debug, info, warn or error", "warn");
}

/** Parses a number that is not negative. */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === "" || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError("A number from 0 up is expected.");
  }
  return value;
}
