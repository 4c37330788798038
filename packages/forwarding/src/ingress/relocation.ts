/** Moves a run to another endpoint once its prompt has been read. */

import { ChildAbort, type Clock, type Logger } from "@rattanvane/base";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { Dialect, KeptMemory, MoveAnswer } from "../model/dialect.ts";
import type { EndpointState } from "../scheduling/endpoint_state.ts";
import { readReply } from "./endpoint_question.ts";
import type { EndpointTransport } from "./endpoint_transport.ts";

const MOVE_TIMEOUT_MILLISECONDS = 1_500;
const RELEASE_TIMEOUT_MILLISECONDS = 1_000;

/** What runs are moved with. */
export interface RelocationOptions {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  transport: EndpointTransport;
  /** Names the run at its endpoint. */
  request: string;
  /** The endpoint that runs it. */
  source: EndpointState;
  /** Called when the run has stopped and its stream is of no more use. */
  onMoved: () => void;
}

/** A run that was stopped, and where it goes on. */
export interface MovedRun {
  source: EndpointState;
  /** Where it goes on next; the source when no other has its memory. */
  target: EndpointState;
  memory: KeptMemory;
}

/** The move of one attempt; asked for at most once. */
export class Relocation {
  readonly #options: RelocationOptions;
  #moving: Promise<MovedRun | undefined> | undefined;

  constructor(options: RelocationOptions) {
    this.#options = options;
  }

  /** Orders the move; the run goes on until the endpoint has stopped it. */
  start(target: EndpointState, signal: AbortSignal): void {
    this.#moving ??= this.#move(target, signal);
  }

  /**
   * Whether an attempt that ended goes on elsewhere. The endpoint closes the
   * stream of a run that it stopped, at times before it has answered the order.
   */
  async settle(ended: OutcomeKind): Promise<MovedRun | undefined> {
    const isOpen = ended === OutcomeKind.Moved ||
      ended === OutcomeKind.StreamBroken;
    const moved = await (isOpen ? this.#moving : undefined);
    if (!isOpen) {
      void this.#moving?.then((unused) => this.#releaseUnused(unused));
    }
    return moved;
  }

  /** Gives up the memory of a run that nobody waits for. */
  async release({ memory }: MovedRun): Promise<void> {
    const { dialect, transport, logger } = this.#options;
    const request = dialect.buildMemoryRelease(memory.handle);
    const limit = AbortSignal.timeout(RELEASE_TIMEOUT_MILLISECONDS);
    const reply = await readReply(
      memory.address,
      { request, transport },
      limit,
    );
    logger.info("a stopped run was given up", {
      request: this.#options.request,
      handle: memory.handle,
      status: reply?.status ?? 0,
    });
  }

  async #releaseUnused(unused: MovedRun | undefined): Promise<void> {
    if (unused !== undefined) {
      await this.release(unused);
    }
  }

  async #move(
    target: EndpointState,
    signal: AbortSignal,
  ): Promise<MovedRun | undefined> {
    const { clock, dialect, transport, request, source } = this.#options;
    const startedAt = clock.now();
    const limit = new ChildAbort(signal);
    const timer = setTimeout(() => limit.abort(), MOVE_TIMEOUT_MILLISECONDS);
    const reply = await readReply(source.address, {
      request: dialect.buildMove(request, target.address),
      transport,
    }, limit.signal);
    clearTimeout(timer);
    limit.abort();
    const answer = reply && dialect.readMove(reply.status, reply.body);
    this.#log({
      target,
      answer,
      status: reply?.status ?? 0,
      milliseconds: clock.now() - startedAt,
    });
    if (answer === undefined) {
      return undefined;
    }
    this.#options.onMoved();
    return {
      source,
      target: answer.isCopied ? target : source,
      memory: { address: source.address, handle: answer.handle },
    };
  }

  #log(end: {
    target: EndpointState;
    answer: MoveAnswer | undefined;
    status: number;
    milliseconds: number;
  }): void {
    const { logger, request, source } = this.#options;
    logger.info("a move of a run ended", {
      request,
      from: source.record.id,
      to: end.target.record.id,
      status: end.status,
      handle: end.answer?.handle,
      isCopied: end.answer?.isCopied,
      milliseconds: Math.round(end.milliseconds),
    });
  }
}
