/**
 * Mutual authentication of two routers by a shared fleet key. Every proof covers
 * fresh nonces from both sides, so a recorded handshake cannot be replayed on
 * another connection.
 */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { decodeValue, encodeValue } from "./codec.ts";
import type { FramedSocket } from "./framed_socket.ts";
import { FrameSeal } from "./frame_seal.ts";
import type { VmContact, VmId } from "./identifiers.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

/** The version of the internal protocol; both sides must use the same one. */
export const PROTOCOL_VERSION = 1;

/** Maximum frame size until the handshake completes. */
export const HANDSHAKE_FRAME_BYTES = 2048;

const NONCE_BYTES = 32;
const KEY_ID_BYTES = 8;

/** Domain separation labels for values derived from a fleet key. */
enum Purpose {
  KeyId = "key id",
  DialerProof = "dialer proof",
  ListenerProof = "listener proof",
  /** Frames from the dialer. */
  Session = "session",
  /** Frames from the listener. */
  Acknowledgement = "acknowledgement",
}

interface DialerHello {
  version: number;
  nonce: Uint8Array;
  keyId: Uint8Array;
  contact: VmContact;
  /** Whether the listener may send messages on the connection as well. */
  acceptsMessages?: boolean;
}

interface ListenerHello {
  version: number;
  nonce: Uint8Array;
  vm: VmId;
  proof: Uint8Array;
}

interface DialerProof {
  proof: Uint8Array;
}

/** The dialer's session state after the handshake. */
export interface DialedSession {
  listener: VmId;
  /** Seals the dialer's frames. */
  seal: FrameSeal;
  /** Seals the listener's acknowledgements and messages. */
  acknowledgementSeal: FrameSeal;
}

/** The listener's session state after the handshake. */
export interface AcceptedSession {
  dialer: VmContact;
  /** Whether the dialer accepts messages besides acknowledgements. */
  acceptsMessages: boolean;
  /** Seals the dialer's frames. */
  seal: FrameSeal;
  /** Seals the listener's acknowledgements and messages. */
  acknowledgementSeal: FrameSeal;
}

/** Runs the dialer's side of the handshake; throws a ProtocolError on failure. */
export async function runDialerHandshake(
  socket: FramedSocket,
  options: { self: VmContact; fleetKey: string },
): Promise<DialedSession> {
  const { self, fleetKey } = options;
  const nonce = randomBytes(NONCE_BYTES);
  const hello: DialerHello = {
    version: PROTOCOL_VERSION,
    nonce,
    keyId: computeKeyId(fleetKey),
    contact: self,
    acceptsMessages: true,
  };
  await socket.write(encodeValue(hello));
  const answer = await readHello<ListenerHello>(socket);
  checkVersion(answer.version);
  const transcript = buildTranscript(hello, answer);
  checkProof(
    answer.proof,
    computeMac(fleetKey, Purpose.ListenerProof, transcript),
  );
  const proof: DialerProof = {
    proof: computeMac(fleetKey, Purpose.DialerProof, transcript),
  };
  await socket.write(encodeValue(proof));
  return { listener: answer.vm, ...createSeals(fleetKey, transcript) };
}

/** Runs the listener's side of the handshake; throws a ProtocolError on failure. */
export async function runListenerHandshake(
  socket: FramedSocket,
  options: { self: VmId; fleetKeys: readonly string[] },
): Promise<AcceptedSession> {
  const hello = await readHello<DialerHello>(socket);
  checkVersion(hello.version);
  checkContact(hello.contact);
  const fleetKey = findKey(hello.keyId, options.fleetKeys);
  const answer: Omit<ListenerHello, "proof"> = {
    version: PROTOCOL_VERSION,
    nonce: randomBytes(NONCE_BYTES),
    vm: options.self,
  };
  const transcript = buildTranscript(hello, answer);
  const proof = computeMac(fleetKey, Purpose.ListenerProof, transcript);
  await socket.write(encodeValue({ ...answer, proof }));
  const dialerProof = await readHello<DialerProof>(socket);
  checkProof(
    dialerProof.proof,
    computeMac(fleetKey, Purpose.DialerProof, transcript),
  );
  return {
    dialer: hello.contact,
    acceptsMessages: hello.acceptsMessages === true,
    ...createSeals(fleetKey, transcript),
  };
}

async function readHello<Hello extends object>(
  socket: FramedSocket,
): Promise<Hello> {
  const frame = await socket.read();
  if (frame === undefined) {
    const problem = "The peer closed the connection during the handshake";
    throw new ProtocolError(ProtocolErrorKind.WrongKey, problem);
  }
  const value = decodeValue(frame);
  if (value.isErr()) {
    throw value.error;
  }
  if (typeof value.value !== "object" || value.value === null) {
    const problem = "Cannot decode a handshake message that is not an object";
    throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
  }
  return value.value as Hello;
}

function checkVersion(version: unknown): void {
  if (version !== PROTOCOL_VERSION) {
    const problem = `Cannot use protocol version "${String(version)}"`;
    throw new ProtocolError(ProtocolErrorKind.WrongVersion, problem);
  }
}

function checkContact(contact: unknown): void {
  const complete = typeof contact === "object" && contact !== null &&
    "vm" in contact && typeof contact.vm === "string" &&
    "host" in contact && typeof contact.host === "string" &&
    "controlPort" in contact && typeof contact.controlPort === "number";
  if (!complete) {
    const problem = "Cannot decode the contact in a handshake message";
    throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
  }
}

function checkProof(actual: unknown, expected: Uint8Array): void {
  const matches = actual instanceof Uint8Array &&
    actual.length === expected.length && timingSafeEqual(actual, expected);
  if (!matches) {
    const problem = "The peer failed to prove knowledge of the fleet key";
    throw new ProtocolError(ProtocolErrorKind.WrongKey, problem);
  }
}

function findKey(keyId: unknown, fleetKeys: readonly string[]): string {
  for (const fleetKey of fleetKeys) {
    const expected = computeKeyId(fleetKey);
    const matches = keyId instanceof Uint8Array &&
      keyId.length === expected.length && timingSafeEqual(keyId, expected);
    if (matches) {
      return fleetKey;
    }
  }
  const problem = "The peer uses a fleet key that is not accepted here";
  throw new ProtocolError(ProtocolErrorKind.WrongKey, problem);
}

function computeKeyId(fleetKey: string): Uint8Array {
  return computeMac(fleetKey, Purpose.KeyId, new Uint8Array())
    .subarray(0, KEY_ID_BYTES);
}

function buildTranscript(
  hello: DialerHello,
  answer: Omit<ListenerHello, "proof">,
): Uint8Array {
  return encodeValue([
    hello.version,
    hello.nonce,
    hello.contact,
    answer.nonce,
    answer.vm,
  ]);
}

interface SessionSeals {
  seal: FrameSeal;
  acknowledgementSeal: FrameSeal;
}

function createSeals(fleetKey: string, transcript: Uint8Array): SessionSeals {
  const deriveSeal = (purpose: Purpose) =>
    new FrameSeal(computeMac(fleetKey, purpose, transcript));
  return {
    seal: deriveSeal(Purpose.Session),
    acknowledgementSeal: deriveSeal(Purpose.Acknowledgement),
  };
}

function computeMac(
  fleetKey: string,
  purpose: Purpose,
  content: Uint8Array,
): Uint8Array {
  const mac = createHmac("sha256", fleetKey);
  mac.update(`${purpose}\n`);
  mac.update(content);
  return mac.digest();
}
