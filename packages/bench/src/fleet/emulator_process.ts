/** Starts a stand-in as a process. */

import { JsonClient } from "../common/json_client.ts";
import { ManagedProcess } from "./managed_process.ts";
import { EMULATOR_PROGRAM } from "./programs.ts";

/** Command line options by their names without dashes. */
export type EmulatorOptions = Record<string, string | number | boolean>;

/** What to start. */
export interface EmulatorCommand {
  name: string;
  kind: "platform" | "engine" | "plain" | "proxy";
  options: EmulatorOptions;
}

/** A stand-in that has reported its ports. */
export interface StartedEmulator {
  process: ManagedProcess;
  port: number;
  /** Calls the admin's port. */
  admin: JsonClient;
}

/** Starts a stand-in and waits until it listens. */
export async function startEmulator(
  command: EmulatorCommand,
  signal: AbortSignal,
): Promise<StartedEmulator> {
  const words = Object.entries(command.options).flatMap(formatOption);
  const process = new ManagedProcess({
    name: command.name,
    program: EMULATOR_PROGRAM,
    words: [command.kind, ...words],
  }, signal);
  const report = await process.waitForLine(
    (line) => line["ready"] === true,
    signal,
  );
  const port = Number(report["port"]);
  const adminPort = Number(report["adminPort"] ?? port);
  const admin = new JsonClient(`http://127.0.0.1:${adminPort}`);
  return { process, port, admin };
}

function formatOption(
  [name, value]: [string, string | number | boolean],
): string[] {
  if (typeof value === "boolean") {
    return value ? [`--${name}`] : [];
  }
  return [`--${name}`, String(value)];
}
