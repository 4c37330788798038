/** The process as the commands' environment. */

import { randomBytes, randomInt, randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import process from "node:process";
import { RandomSource, SystemClock } from "@rattanvane/base";
import {
  createCheckedPool,
  createConnector,
  HttpObjectStore,
  HttpTableService,
  PlatformBudget,
  PlatformTransport,
} from "@rattanvane/platform";
import type {
  CommandEnvironment,
  PlatformAccess,
  VmAnswer,
} from "./command_environment.ts";

/** A command is one of many users of the platform. */
const PLATFORM_RATES = { readsPerSecond: 50, writesPerSecond: 20 };
const PLATFORM_DEADLINE_MILLISECONDS = 5_000;
const VM_TIMEOUT_MILLISECONDS = 10_000;
const HIGHEST_SEED = 0x7fffffff;
const KEY_BYTES = 32;
/** Lets people and scanners recognise a key that has leaked. */
const KEY_PREFIX = "rv-";

/** Creates the environment; connections end when the signal aborts. */
export function createProcessEnvironment(
  signal: AbortSignal,
): CommandEnvironment {
  const clock = new SystemClock();
  const random = new RandomSource(randomInt(HIGHEST_SEED));
  return {
    clock,
    random,
    signal,
    author: userInfo().username,
    operatorKey: process.env["RATTANVANE_OPERATOR_KEY"],
    print: (text) => void process.stdout.write(text),
    printError: (text) => void process.stderr.write(text),
    createId: () => randomUUID(),
    createKey: () => KEY_PREFIX + randomBytes(KEY_BYTES).toString("base64url"),
    connectPlatform: (url) => connectPlatform(url, { clock, random, signal }),
    readVm,
  };
}

function connectPlatform(
  url: string,
  options: Pick<CommandEnvironment, "clock" | "random" | "signal">,
): PlatformAccess {
  const { clock, random, signal } = options;
  const transport = new PlatformTransport({
    url,
    clock,
    random,
    budget: new PlatformBudget(PLATFORM_RATES, { clock, random }),
    deadlineMilliseconds: PLATFORM_DEADLINE_MILLISECONDS,
  }, signal);
  return {
    table: new HttpTableService(transport),
    objects: new HttpObjectStore(transport),
  };
}

async function readVm(url: string, key: string): Promise<VmAnswer> {
  const { origin, pathname, search } = new URL(url);
  const end = new AbortController();
  const { pool, dispatcher } = createCheckedPool(origin, {
    connect: createConnector({
      connectTimeoutMilliseconds: VM_TIMEOUT_MILLISECONDS,
      localAddress: "",
    }),
    headersTimeout: VM_TIMEOUT_MILLISECONDS,
    bodyTimeout: VM_TIMEOUT_MILLISECONDS,
    signal: end.signal,
  });
  try {
    const answer = await dispatcher.request({
      method: "GET",
      path: pathname + search,
      headers: { authorization: `Bearer ${key}` },
    });
    return { status: answer.statusCode, body: await answer.body.text() };
  } finally {
    end.abort();
    await pool.destroy();
  }
}
