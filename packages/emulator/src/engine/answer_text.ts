/**
 * The text that the engine stand-in gives for a prompt: a pure function, so
 * that a test can compare an answer byte for byte.
 */

const MINIMUM_TOKENS = 4;
const TOKEN_SPREAD = 252;
/** Makes short answers frequent and long ones rare. */
const LENGTH_SKEW = 3;
const LENGTH_PATTERN = /\[tokens:(\d+)\]/;
const UNSIGNED_RANGE = 2 ** 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const INDEX_MULTIPLIER = 0x9e3779b1;
const LENGTH_INDEX = -1;

/** Some are not ASCII, so that a cut inside a character shows. */
const WORDS = [
  "amber",
  "birch",
  "cedar",
  "délta",
  "ember",
  "fjord",
  "grove",
  "harbour",
  "ińdigo",
  "jute",
  "kiln",
  "linen",
  "märz",
  "north",
  "oasis",
  "pearl",
  "quartz",
  "ribbon",
  "sable",
  "ตะวัน",
  "umber",
  "velvet",
  "willow",
  "xylem",
  "yarrow",
  "zinc",
  "🌿",
  "copper",
  "drift",
  "early",
  "flint",
  "glaze",
];

/** One message of a chat. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** Joins the messages of a chat into the prompt that the text depends on. */
export function formatChatPrompt(messages: readonly ChatMessage[]): string {
  return messages
    .map((message) => `${message.role}: ${message.content}`)
    .join("\n");
}

/**
 * Computes how many tokens the engine generates for a prompt. A prompt may ask
 * for an exact number by `[tokens:N]`.
 */
export function computeTokenCount(prompt: string, maxTokens: number): number {
  const asked = LENGTH_PATTERN.exec(prompt)?.[1];
  if (asked !== undefined) {
    return Math.min(Number(asked), maxTokens);
  }
  const fraction = hashIndex(hashText(prompt), LENGTH_INDEX) / UNSIGNED_RANGE;
  const extra = Math.floor(fraction ** LENGTH_SKEW * TOKEN_SPREAD);
  return Math.min(MINIMUM_TOKENS + extra, maxTokens);
}

/** Generates the tokens of the whole answer. */
export function generateTokens(prompt: string, maxTokens: number): string[] {
  const seed = hashText(prompt);
  const tokens: string[] = [];
  const count = computeTokenCount(prompt, maxTokens);
  for (let index = 0; index < count; index++) {
    const hash = hashIndex(seed, index);
    const word = WORDS[hash % WORDS.length] as string;
    tokens.push(index === 0 ? word : ` ${word}`);
  }
  return tokens;
}

/** Generates the text of the whole answer. */
export function generateAnswer(prompt: string, maxTokens: number): string {
  return generateTokens(prompt, maxTokens).join("");
}

/** Hashes a text into an unsigned 32-bit number (FNV-1a). */
function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Mixes a seed with an index into an unsigned 32-bit number. */
function hashIndex(seed: number, index: number): number {
  let mixed = seed ^ Math.imul(index + 1, INDEX_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
