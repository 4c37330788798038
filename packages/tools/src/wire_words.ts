/** The names of the users' platform that no other folder may use. */

const WIRE_WORDS = [
  "Server-Seal",
  "Attempt-Id",
  "Not-Executed",
  "Expect-Instance",
  "Deadline-Ms",
  "Prefix-Hash",
  "Token-Count",
  "Length-Hint",
  "Kv-From",
  "Kv-Backup",
  "Kv-Fetch",
  "rows-tx",
  "rows-get",
  "rows-feed",
  "row_ver",
  "slo_ms",
  "itl_target_ms",
  "cold_left_ms",
  "cold_start_s",
  "api_keys",
  "slot_count",
  "evacuate",
  "RATTANVANE_NODE_FILE",
];

/** A longer name that ends in one of them is another name. */
const PATTERNS = WIRE_WORDS.map((word) => ({
  word,
  pattern: new RegExp(`(?<![\\w-])${word}`, "i"),
}));

/** Finds the first platform's name in a line, in any case. */
export function findWireWord(line: string): string | undefined {
  return PATTERNS.find(({ pattern }) => pattern.test(line))?.word;
}
