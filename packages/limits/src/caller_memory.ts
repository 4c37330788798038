/** Limits the memory that a VM holds for the callers of its requests. */

import type { Clock, Logger } from "@rattanvane/base";
import type { OrganisationId } from "@rattanvane/protocol";

/** A caller that makes no progress for this long is idle. */
const IDLE_MILLISECONDS = 1_000;
/**
 * Above this part of the limit, no organisation may add to more than half of
 * what is held by requests that run; the rest is left to others.
 */
const CONTESTED_FRACTION = 0.75;
const LINE_INTERVAL_MILLISECONDS = 1_000;
/** More lines in an interval are counted only. */
const MAX_LINES = 10;

/** The most that the kernel is taken to keep for a connection that is paused. */
const MAX_UNREAD_BYTES = 512 * 1024;

/**
 * Estimates what the kernel keeps of a connection that is not read on: it
 * accepts the more, the more was read of the connection before.
 */
export function computeUnreadBytes(receivedBytes: number): number {
  return Math.min(MAX_UNREAD_BYTES, receivedBytes);
}

/** What bytes are held for. */
export enum HeldKind {
  /** The body of a request, until the request ends. */
  Body = "body",
  /** An answer that its caller has not taken. */
  Answer = "answer",
}

/** Settings and dependencies of a {@link CallerMemory}. */
export interface CallerMemoryOptions {
  /** The limit in bytes, over all callers. */
  maxBytes: number;
  clock: Clock;
  logger: Logger;
  /** Counts a request whose bytes were released to stay within the limit. */
  countRelease: (kind: HeldKind) => void;
  /** Counts bytes that are held in addition. */
  countAdded?: (bytes: number) => void;
}

/** Sums of bytes, over all organisations and for each. */
class OrganisationBytes {
  readonly #bytes = new Map<OrganisationId | undefined, number>();
  total = 0;

  get(organisation: OrganisationId | undefined): number {
    return this.#bytes.get(organisation) ?? 0;
  }

  add(organisation: OrganisationId | undefined, bytes: number): void {
    this.total += bytes;
    const sum = this.get(organisation) + bytes;
    if (sum === 0) {
      this.#bytes.delete(organisation);
    } else {
      this.#bytes.set(organisation, sum);
    }
  }
}

/** The bytes that are held for one request. */
export class CallerShare {
  /** Reads the remote address, which takes a system call. */
  readonly readCaller: () => string | undefined;
  organisation: OrganisationId | undefined;
  /**
   * Gives the bytes up, and with them the request or its connection. Undefined
   * while the request runs: its body is needed, and it cannot be refused.
   */
  release: (() => void) | undefined;
  /** When the caller last sent or took bytes. */
  progressAt: number;
  /** The bytes that are counted as those of a running request. */
  runningBytes = 0;
  #isClosed = false;
  readonly #memory: CallerMemory;
  readonly #bytes: Record<HeldKind, number> = {
    [HeldKind.Body]: 0,
    [HeldKind.Answer]: 0,
  };

  constructor(
    readCaller: () => string | undefined,
    { memory, now }: { memory: CallerMemory; now: number },
  ) {
    this.readCaller = readCaller;
    this.#memory = memory;
    this.progressAt = now;
  }

  /** The bytes that are held for the request. */
  get bytes(): number {
    return this.#bytes[HeldKind.Body] + this.#bytes[HeldKind.Answer];
  }

  /** Whether half of the memory for callers is in use. */
  get isMemoryContested(): boolean {
    return this.#memory.isContested;
  }

  /** What most of the bytes are held for. */
  get kind(): HeldKind {
    return this.#bytes[HeldKind.Answer] > this.#bytes[HeldKind.Body]
      ? HeldKind.Answer
      : HeldKind.Body;
  }

  /**
   * Counts the body as that of a request that runs; false when there is no
   * memory for it beside those of other organisations.
   */
  run(): boolean {
    return this.#memory.run(this);
  }

  /**
   * Sets the bytes of one kind; may release this share or another one. Does
   * nothing after the share was closed.
   */
  update(kind: HeldKind, bytes: number): void {
    if (this.#isClosed) {
      return;
    }
    const added = bytes - this.#bytes[kind];
    this.#bytes[kind] = bytes;
    this.#memory.add(this, added);
  }

  /** Counts no more bytes for the request, which has ended. */
  close(): void {
    this.release = undefined;
    this.update(HeldKind.Body, 0);
    this.update(HeldKind.Answer, 0);
    this.#memory.remove(this);
    this.#isClosed = true;
  }
}

/**
 * Counts the bytes of bodies and of answers that callers have not taken. Above
 * the limit, shares are released: those of idle callers first, then those of the
 * organisation that holds most. A caller that sends steadily is released last
 * among those of its organisation that hold as much.
 *
 * Load: many callers that stop short of the end of a long body, or do not read
 * their answers, beside others who need a small part of the memory.
 */
export class CallerMemory {
  readonly #options: CallerMemoryOptions;
  readonly #shares = new Set<CallerShare>();
  readonly #held = new OrganisationBytes();
  readonly #running = new OrganisationBytes();
  #lines = 0;
  #linesSince = -Infinity;

  constructor(options: CallerMemoryOptions) {
    this.#options = options;
  }

  /** The number of bytes that are held. */
  get bytes(): number {
    return this.#held.total;
  }

  /** Whether half of the limit is in use. */
  get isContested(): boolean {
    return this.bytes > this.#options.maxBytes / 2;
  }

  /** Creates an empty share for a request; its owner closes it. */
  createShare(readCaller: () => string | undefined): CallerShare {
    const now = this.#options.clock.now();
    return new CallerShare(readCaller, { memory: this, now });
  }

  /**
   * Counts a share among those of running requests, which are not released;
   * false when its organisation would leave too little of the memory to others.
   */
  run(share: CallerShare): boolean {
    const { organisation, bytes } = share;
    const total = this.#running.total + bytes;
    const own = this.#running.get(organisation) + bytes;
    const isContested = total > CONTESTED_FRACTION * this.#options.maxBytes;
    if (isContested && own > total / 2) {
      return false;
    }
    share.release = undefined;
    share.runningBytes = bytes;
    this.#running.add(organisation, bytes);
    return true;
  }

  /** Counts nothing more of a share. */
  remove(share: CallerShare): void {
    this.#running.add(share.organisation, -share.runningBytes);
    share.runningBytes = 0;
  }

  /** Adds to the bytes of a share; a negative number takes from them. */
  add(share: CallerShare, bytes: number): void {
    share.progressAt = this.#options.clock.now();
    if (bytes > 0) {
      this.#options.countAdded?.(bytes);
    }
    this.#held.add(share.organisation, bytes);
    if (share.bytes === 0) {
      this.#shares.delete(share);
    } else {
      this.#shares.add(share);
    }
    while (this.bytes > this.#options.maxBytes) {
      const victim = this.#pickVictim();
      if (victim === undefined) {
        return;
      }
      this.#release(victim);
    }
  }

  #pickVictim(): CallerShare | undefined {
    const now = this.#options.clock.now();
    let victim: CallerShare | undefined;
    let highest: number[] = [];
    for (const share of this.#shares) {
      if (share.release === undefined) {
        continue;
      }
      const pause = now - share.progressAt;
      const rank = [
        pause >= IDLE_MILLISECONDS ? 1 : 0,
        this.#held.get(share.organisation),
        share.bytes * (1 + pause),
      ];
      if (victim === undefined || compareRanks(rank, highest) > 0) {
        victim = share;
        highest = rank;
      }
    }
    return victim;
  }

  #release(share: CallerShare): void {
    const { release, kind } = share;
    this.#logRelease(share);
    this.#options.countRelease(kind);
    share.close();
    release?.();
  }

  #logRelease(share: CallerShare): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    if (now - this.#linesSince >= LINE_INTERVAL_MILLISECONDS) {
      this.#linesSince = now;
      this.#lines = 0;
    }
    this.#lines++;
    if (this.#lines <= MAX_LINES) {
      logger.warn("the memory for callers is used up; one was given up", {
        kind: share.kind,
        bytes: share.bytes,
        organisation: share.organisation,
        caller: share.readCaller(),
        idleMilliseconds: Math.round(now - share.progressAt),
        heldBytes: this.bytes,
      });
    }
  }
}

/** Compares by the first place that differs. */
function compareRanks(first: number[], second: number[]): number {
  const place = first.findIndex((value, index) => value !== second[index]);
  return (first[place] ?? 0) - (second[place] ?? 0);
}
