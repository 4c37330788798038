/** `npm run bench`: measures a fleet of real processes against baselines. */

import { setMaxListeners } from "node:events";
import process from "node:process";
import { describeError, SystemClock } from "@rattanvane/base";
import { Command, InvalidArgumentError } from "commander";
import type { ScenarioReport } from "./scenarios/figure.ts";
import { formatReport, formatRows } from "./scenarios/figure_table.ts";
import { listScenarios } from "./scenarios/list_scenarios.ts";
import { listSlopeGroups } from "./slopes/list_slope_groups.ts";
import type { Slope } from "./slopes/slope.ts";
import { formatSlopes } from "./slopes/slope_table.ts";

const DEFAULT_SEED = 1;
const DEFAULT_SECONDS = 20;

interface BenchOptions {
  list?: boolean;
  slopes?: boolean;
  seed: number;
  seconds: number;
  json?: boolean;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError("It must be a whole number above 0.");
  }
  return value;
}

/** Finds what is named; all of it when nothing is named. */
function pickNamed<Named extends { name: string }>(
  all: readonly Named[],
  names: readonly string[],
): readonly Named[] {
  const unknown = names.filter((name) =>
    all.every((each) => each.name !== name)
  );
  if (unknown.length > 0) {
    throw new Error(`Nothing is called "${unknown.join('", "')}"; see --list`);
  }
  return names.length === 0
    ? all
    : all.filter((each) => names.includes(each.name));
}

function printList(): void {
  const rows = listScenarios().map(({ name, description, baseline }) => [
    name,
    description,
    `baseline: ${baseline}`,
  ]);
  const groups = listSlopeGroups().map(({ name }) => name);
  console.log(formatRows(rows));
  console.log(`groups of --slopes: ${groups.join(", ")}`);
}

async function runScenarios(
  names: readonly string[],
  options: BenchOptions,
): Promise<void> {
  const clock = new SystemClock();
  const end = new AbortController();
  setMaxListeners(0, end.signal);
  const { seed, seconds } = options;
  const reports: ScenarioReport[] = [];
  for (const scenario of pickNamed(listScenarios(), names)) {
    const figures = await scenario.measure(
      { seed, seconds, clock },
      end.signal,
    );
    const { name, baseline } = scenario;
    const report = { scenario: name, baseline, seed, seconds, figures };
    reports.push(report);
    if (!options.json) {
      console.log(`${formatReport(report)}\n`);
    }
  }
  end.abort();
  if (options.json) {
    console.log(JSON.stringify(reports, undefined, 2));
  }
}

/** Measures slopes; the names pick groups of them. */
async function runSlopes(
  names: readonly string[],
  options: BenchOptions,
): Promise<void> {
  const end = new AbortController();
  setMaxListeners(0, end.signal);
  const all: Slope[] = [];
  for (const group of pickNamed(listSlopeGroups(), names)) {
    const slopes = await group.measure(end.signal);
    all.push(...slopes);
    if (!options.json) {
      console.log(`${group.name}\n${formatSlopes(slopes)}\n`);
    }
  }
  end.abort();
  if (options.json) {
    console.log(JSON.stringify(all, undefined, 2));
  }
}

async function main(): Promise<void> {
  const program = new Command("bench")
    .description("Measures local fleets of real processes against baselines.")
    .argument("[scenarios...]", "the scenarios to run; all without a name")
    .option("--list", "names the scenarios and their baselines")
    .option("--slopes", "measures what grows with sizes, by groups")
    .option("--seed <number>", "the seed", parsePositive, DEFAULT_SEED)
    .option(
      "--seconds <number>",
      "the length of each measured phase",
      parsePositive,
      DEFAULT_SECONDS,
    )
    .option("--json", "prints the figures as JSON")
    .action(async (names: string[], options: BenchOptions) => {
      if (options.list) {
        printList();
        return;
      }
      await (options.slopes
        ? runSlopes(names, options)
        : runScenarios(names, options));
    });
  try {
    await program.parseAsync();
  } catch (error) {
    console.error(describeError(error));
    process.exitCode = 1;
  }
}

await main();
