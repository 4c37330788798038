/** The command that runs the engine stand-in. */

import type { Command } from "commander";
import { createLogger, SystemClock } from "@rattanvane/base";
import {
  createEngineOptions,
  type EngineOptions,
} from "../engine/engine_options.ts";
import { EngineServer } from "../engine/engine_server.ts";
import {
  addCommonOptions,
  type CommonOptions,
  parseNumber,
} from "./common_options.ts";
import { createInstanceName, runProgram } from "./run_program.ts";

interface EngineCommandOptions extends CommonOptions {
  bootDelay: number;
  slots: number;
  coldSlots: number;
  warmUpMs: number;
  tokenMs: number;
  prefillMs: number;
  cachedPrefillMs: number;
  restartMs: number;
  loadLagMs: number;
  cachePrefixes: number;
  cacheEventLagMs: number;
  cacheEventLoss: number;
  crashMarker: string;
  checksFencing?: boolean;
  seed: number;
}

/** Registers `engine`. */
export function registerEngineCommand(program: Command): void {
  const command = addCommonOptions(
    program
      .command("engine")
      .description(
        "Test support: a model engine that crashes when it gets more than " +
          "it bears",
      ),
  );
  addEngineOptions(command).action((options: EngineCommandOptions) =>
    runProgram(async (signal) => {
      const clock = new SystemClock();
      await clock.sleep(options.bootDelay, signal);
      const server = new EngineServer({
        host: options.host,
        port: options.port,
        clock,
        logger: createLogger("engine", options.logLevel),
        engine: toEngineOptions(options),
      }, signal);
      await server.start();
      return { port: server.port, adminPort: server.adminPort };
    })
  );
}

function addEngineOptions(command: Command): Command {
  const defaults = createEngineOptions();
  const addNumber = (flags: string, text: string, value: number) =>
    command.option(flags, text, parseNumber, value);
  addNumber("--boot-delay <ms>", "time before it listens at all", 0);
  addNumber("--slots <n>", "requests it bears when warm", defaults.slots);
  addNumber(
    "--cold-slots <n>",
    "requests it bears right after a start",
    defaults.coldSlots,
  );
  addNumber(
    "--warm-up-ms <ms>",
    "time in which what it bears doubles; 0 makes it warm at once",
    defaults.warmUpMilliseconds,
  );
  addNumber("--token-ms <ms>", "time of a step", defaults.tokenMilliseconds);
  addNumber(
    "--prefill-ms <ms>",
    "time before the first token",
    defaults.prefillMilliseconds,
  );
  addNumber(
    "--cached-prefill-ms <ms>",
    "the same for a cached prefix",
    defaults.cachedPrefillMilliseconds,
  );
  addNumber(
    "--restart-ms <ms>",
    "how long it refuses connections after a crash",
    defaults.restartMilliseconds,
  );
  addNumber(
    "--load-lag-ms <ms>",
    "age of its load report",
    defaults.loadLagMilliseconds,
  );
  addNumber(
    "--cache-prefixes <n>",
    "prefixes that its cache holds",
    defaults.cachePrefixes,
  );
  addNumber(
    "--cache-event-lag-ms <ms>",
    "how late cache events appear",
    defaults.cacheEventLagMilliseconds,
  );
  addNumber(
    "--cache-event-loss <fraction>",
    "fraction of cache events that never appear",
    defaults.cacheEventLoss,
  );
  addNumber("--seed <n>", "seed of the lost cache events", defaults.seed);
  return command
    .option("--crash-marker <text>", "a prompt with it crashes the engine", "")
    .option("--checks-fencing", "refuse orders with an old fencing number");
}

function toEngineOptions(options: EngineCommandOptions): EngineOptions {
  return {
    instance: createInstanceName(),
    slots: options.slots,
    coldSlots: options.coldSlots,
    warmUpMilliseconds: options.warmUpMs,
    tokenMilliseconds: options.tokenMs,
    prefillMilliseconds: options.prefillMs,
    cachedPrefillMilliseconds: options.cachedPrefillMs,
    restartMilliseconds: options.restartMs,
    loadLagMilliseconds: options.loadLagMs,
    cachePrefixes: options.cachePrefixes,
    cacheEventLagMilliseconds: options.cacheEventLagMs,
    cacheEventLoss: options.cacheEventLoss,
    crashMarker: options.crashMarker,
    checksFencing: options.checksFencing ?? false,
    seed: options.seed,
  };
}
