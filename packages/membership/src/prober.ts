/** Probes single VMs: directly, by way of others, and while suspected. */

import type { Clock, RandomSource } from "@rattanvane/base";
import {
  type IndirectProbeMessage,
  MessageKind,
  type MessageSender,
  type VmContact,
  type VmId,
  VmState,
} from "@rattanvane/protocol";
import {
  type AnswerWait,
  type AnswerWaits,
  WaitOutcome,
} from "./answer_waits.ts";
import { GossipExtent, type GossipSpread } from "./gossip_spread.ts";
import { Patience } from "./patience.ts";
import type { MembershipSettings } from "./settings.ts";
import { TokenBucket } from "./token_bucket.ts";
import type { VmRecord, VmTable } from "./vm_table.ts";

/** Sequence of probes whose answer nobody waits for. */
export const UNAWAITED_SEQUENCE = 0;

/** Bounds how often others are asked to probe, to feed no overload. */
const BURST_INDIRECT_ROUNDS = 15;
const INDIRECT_ROUNDS_PER_SECOND = 2;

/** What probes need. */
export interface ProberOptions {
  self: VmContact;
  table: VmTable;
  waits: AnswerWaits;
  gossip: GossipSpread;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  settings: MembershipSettings;
}

/** Runs one task for each VM that is being probed. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #patience = new Patience();
  readonly #indirectRounds: TokenBucket;
  readonly #probed = new Set<VmId>();

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#indirectRounds = new TokenBucket({
      clock: options.clock,
      burst: BURST_INDIRECT_ROUNDS,
      perSecond: INDIRECT_ROUNDS_PER_SECOND,
    });
  }

  /** Probes a VM of the own zone until it has answered or is held dead. */
  async probe(target: VmContact): Promise<void> {
    if (this.#probed.has(target.vm)) {
      return;
    }
    const wait = this.#options.waits.open(target.vm);
    this.#probed.add(target.vm);
    try {
      await this.#probeWith(wait, target);
    } finally {
      this.#probed.delete(target.vm);
      this.#options.waits.close(wait);
    }
  }

  /** Probes a contact in another zone; drops it when it does not answer. */
  async probeContact(target: VmContact): Promise<void> {
    const { waits, settings, table } = this.#options;
    const wait = waits.open(target.vm);
    try {
      this.#sendRegular(target, wait.sequence);
      let outcome = await wait.wait(settings.contactTimeoutMilliseconds);
      if (outcome === WaitOutcome.TimedOut) {
        this.#sendRegular(target, wait.sequence);
        outcome = await wait.wait(settings.contactTimeoutMilliseconds);
      }
      const record = table.find(target.vm);
      if (outcome === WaitOutcome.TimedOut && record !== undefined) {
        this.#declareDead(record);
      }
    } finally {
      waits.close(wait);
    }
  }

  /** Probes a VM for another one, and passes its answer on. */
  async probeFor(message: IndirectProbeMessage): Promise<void> {
    const { waits, settings, sender } = this.#options;
    const wait = waits.open(message.target.vm);
    try {
      this.#sendExtraWith(message.target, wait.sequence);
      const outcome = await wait.wait(settings.suspicionMilliseconds);
      if (outcome === WaitOutcome.Answered) {
        sender.send(message.from.vm, {
          kind: MessageKind.IndirectProbeReply,
          sequence: message.sequence,
          target: message.target.vm,
        });
      }
    } finally {
      waits.close(wait);
    }
  }

  /** Sends a probe out of turn, whose answer nobody waits for. */
  sendExtra(target: VmContact): void {
    this.#sendExtraWith(target, UNAWAITED_SEQUENCE);
  }

  #sendExtraWith(target: VmContact, sequence: number): void {
    this.#send(target, { sequence, extent: GossipExtent.Extra });
  }

  #sendRegular(target: VmContact, sequence: number): void {
    this.#send(target, { sequence, extent: GossipExtent.Regular });
  }

  #send(
    target: VmContact,
    options: { sequence: number; extent: GossipExtent },
  ): void {
    const { self, sender, gossip } = this.#options;
    sender.learnContact(target);
    sender.send(target.vm, {
      kind: MessageKind.Probe,
      sequence: options.sequence,
      from: self,
      gossip: gossip.build(target, options.extent),
    });
  }

  async #probeWith(wait: AnswerWait, target: VmContact): Promise<void> {
    const { probeTimeoutMilliseconds } = this.#options.settings;
    const timeout = this.#patience.computeTimeout(probeTimeoutMilliseconds);
    this.#sendRegular(target, wait.sequence);
    const direct = await wait.wait(timeout);
    if (direct === WaitOutcome.Answered) {
      this.#patience.addTimely();
    }
    if (direct !== WaitOutcome.TimedOut) {
      return;
    }
    this.#askOthers(target, wait.sequence);
    const indirect = await wait.wait(timeout);
    const outcome = indirect === WaitOutcome.TimedOut
      ? await this.#watch(target, wait)
      : indirect;
    if (outcome === WaitOutcome.Answered) {
      this.#patience.addLate();
    }
  }

  #askOthers(target: VmContact, sequence: number): void {
    const { self, table, random, sender, settings } = this.#options;
    if (this.#indirectRounds.take(1) === 0) {
      return;
    }
    const others = table.listZone(self.zone).filter((record) =>
      record.state === VmState.Live && record.contact.vm !== target.vm
    );
    const helpers = random.shuffle(others).slice(
      0,
      settings.indirectProbes,
    );
    for (const helper of helpers) {
      sender.send(helper.contact.vm, {
        kind: MessageKind.IndirectProbe,
        sequence,
        from: self,
        target,
      });
    }
  }

  /** Tells the suspect of the suspicion, and gives it time to refute it. */
  async #watch(
    target: VmContact,
    wait: AnswerWait,
  ): Promise<WaitOutcome> {
    const { table, gossip, settings } = this.#options;
    const record = table.find(target.vm);
    if (record === undefined) {
      return WaitOutcome.Closed;
    }
    const { incarnation } = record;
    gossip.apply({ contact: target, state: VmState.Suspect, incarnation });
    const pause = settings.suspicionMilliseconds / settings.suspicionProbes;
    let unanswered = 0;
    while (unanswered < settings.suspicionProbes) {
      this.#sendExtraWith(target, wait.sequence);
      const outcome = await wait.wait(pause);
      const isObsolete = record.incarnation !== incarnation ||
        record.state === VmState.Dead;
      if (isObsolete || isFinal(outcome)) {
        return outcome;
      }
      unanswered = outcome === WaitOutcome.Paused ? 0 : unanswered + 1;
    }
    this.#declareDead(record);
    return WaitOutcome.TimedOut;
  }

  #declareDead(record: VmRecord): void {
    this.#options.gossip.apply({
      contact: record.contact,
      state: VmState.Dead,
      incarnation: record.incarnation,
    });
  }
}

/** Whether a wait needs no further probes. */
function isFinal(outcome: WaitOutcome): boolean {
  return outcome === WaitOutcome.Answered || outcome === WaitOutcome.Closed;
}
