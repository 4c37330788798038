/** Answers that HTTP does not allow, for the tests of all that read answers. */

/** What an invalid answer consists of besides its fault. */
export interface AnswerParts {
  /** Field lines, each with its line end. */
  fields: string;
  body: string;
}

/** Formats an answer; its bytes are the characters' codes (latin1). */
export type AnswerFormat = (parts: AnswerParts) => string;

const FIELD_LINES = {
  "a blank in a field name": "x bad: 1",
  "a blank before a field name": "x-good: 1\r\n x-bad: 1",
  "a tab in a field name": "x\tbad: 1",
  "NUL in a field name": "x\0bad: 1",
  "0x01 in a field name": "x\x01bad: 1",
  "0x7F in a field name": "x\x7Fbad: 1",
  "0xE9 in a field name": "x\xE9bad: 1",
  "a parenthesis in a field name": "x(bad: 1",
  "a blank before a colon": "x-bad : 1",
  "an empty field name": ": 1",
  "a line without a colon": "x-bad",
  "a control byte in a field value": "x-bad: a\x01b",
};

const CODINGS = [
  "gzip",
  "identity",
  "gzip, chunked",
  "chunked, gzip",
  "chunked, chunked",
];

const REASONS = { "0x01": "O\x01K", "0x7F": "O\x7FK" };

function formatLength(body: string): string {
  return `content-length: ${body.length}\r\n\r\n${body}`;
}

function formatChunks(body: string): string {
  return `\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** Answers with an invalid field line, by what is wrong with it. */
const INVALID_FIELDS: Record<string, AnswerFormat> = {
  ...Object.fromEntries(
    Object.entries(FIELD_LINES).map(([fault, line]): [string, AnswerFormat] => [
      fault,
      ({ fields, body }) =>
        `HTTP/1.1 200 OK\r\n${line}\r\n${fields}${formatLength(body)}`,
    ]),
  ),
  "a blank before the colon of content-length": ({ fields, body }) =>
    `HTTP/1.1 200 OK\r\n${fields}content-length : ${body.length}\r\n\r\n${body}`,
  "a blank before the colon of transfer-encoding": ({ fields, body }) =>
    `HTTP/1.1 200 OK\r\n${fields}transfer-encoding : chunked\r\n` +
    formatChunks(body),
};

/** Answers with a coding other than `chunked`, by their transfer-encoding. */
const INVALID_CODINGS: Record<string, AnswerFormat> = Object.fromEntries(
  CODINGS.map((coding) => [
    `the transfer coding "${coding}"`,
    ({ fields, body }) =>
      `HTTP/1.1 200 OK\r\n${fields}transfer-encoding: ${coding}\r\n` +
      formatChunks(body),
  ]),
);

/** Answers with a control byte in their reason phrase, by that byte. */
const INVALID_REASONS: Record<string, AnswerFormat> = Object.fromEntries(
  Object.entries(REASONS).map(([byte, reason]): [string, AnswerFormat] => [
    `${byte} in the reason phrase`,
    ({ fields, body }) =>
      `HTTP/1.1 200 ${reason}\r\n${fields}${formatLength(body)}`,
  ]),
);

/** The answers, by what is wrong with their head. */
export const INVALID_HEADS: Record<string, AnswerFormat> = {
  ...INVALID_FIELDS,
  ...INVALID_CODINGS,
  ...INVALID_REASONS,
};
