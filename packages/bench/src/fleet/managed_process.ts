/** A child process with its log; ends with its owner's signal. */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";
import { Deferred } from "@rattanvane/base";
import { BenchError, BenchErrorKind } from "../common/bench_error.ts";
import { registerChild } from "./child_registry.ts";
import { type LogLine, ProcessLog } from "./process_log.ts";

const LINES_IN_ERROR = 20;

/** What to start. */
export interface ProcessCommand {
  /** Names the process in errors. */
  name: string;
  /** A JavaScript file that Node.js runs. */
  program: string;
  words: readonly string[];
}

/** How a process ended. */
export interface ProcessEnd {
  code: number | null;
  signal: string | null;
}

/** A running child process. */
export class ManagedProcess {
  readonly name: string;
  readonly log = new ProcessLog();
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  readonly #child: ChildProcess;

  constructor(command: ProcessCommand, signal: AbortSignal) {
    this.name = command.name;
    this.#child = spawn(
      process.execPath,
      [command.program, ...command.words],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    registerChild(this.#child);
    const ended = new Deferred<ProcessEnd>();
    this.ended = ended.promise;
    this.#child.once(
      "close",
      (code, endSignal) => ended.resolve({ code, signal: endSignal }),
    );
    this.#child.once("error", (error) => this.log.add(error.message));
    this.#collect(this.#child.stdout);
    this.#collect(this.#child.stderr);
    const stop = () => this.kill();
    signal.addEventListener("abort", stop, { once: true });
    void this.ended.then(() => signal.removeEventListener("abort", stop));
    if (signal.aborted) {
      stop();
    }
  }

  get processId(): number {
    return this.#child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Ends the process at once, also a frozen one. */
  kill(): void {
    this.#child.kill("SIGKILL");
  }

  /** Asks the process to shut down gracefully. */
  terminate(): void {
    this.#child.kill("SIGTERM");
  }

  /** Freezes the process. */
  freeze(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Lets a frozen process go on. */
  thaw(): void {
    this.#child.kill("SIGCONT");
  }

  /** Waits for a JSON line; throws when the process ends before it. */
  async waitForLine(
    matches: (line: LogLine) => boolean,
    signal: AbortSignal,
  ): Promise<LogLine> {
    const known = this.log.lines.find(matches);
    if (known !== undefined) {
      return known;
    }
    const found = new Deferred<LogLine>();
    const listening = new AbortController();
    this.log.added.listen((line) => {
      if (matches(line)) {
        found.resolve(line);
      }
    }, AbortSignal.any([listening.signal, signal]));
    void this.ended.then(() => found.reject(this.createEndError()));
    try {
      return await found.promise;
    } finally {
      listening.abort();
    }
  }

  /** An error that tells what the process said last. */
  createEndError(): BenchError {
    const lastLines = [
      ...this.log.lines.map((line) => JSON.stringify(line)),
      ...this.log.others,
    ].slice(-LINES_IN_ERROR);
    return new BenchError(
      BenchErrorKind.Process,
      `The process "${this.name}" has ended; its last lines: ` +
        `${lastLines.join("\n")}\n`,
    );
  }

  #collect(output: NodeJS.ReadableStream | null): void {
    if (output !== null) {
      createInterface({ input: output }).on(
        "line",
        (line) => this.log.add(line),
      );
    }
  }
}
