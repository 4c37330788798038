/** Names of the users' platform API, which are reserved for the adapter. */

const PLATFORM_API_NAMES = [
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

/** The lookbehind excludes longer names that end in a listed name. */
const PATTERNS = PLATFORM_API_NAMES.map((name) => ({
  name,
  pattern: new RegExp(`(?<![\\w-])${name}`, "i"),
}));

/** Finds a platform API name in a line, ignoring case; the list's order decides. */
export function findPlatformApiName(line: string): string | undefined {
  return PATTERNS.find(({ pattern }) => pattern.test(line))?.name;
}
