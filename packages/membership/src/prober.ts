/**
 * Probes individual VMs: directly, indirectly through other VMs, and while they
 * are suspected.
 */

import type { Clock, RandomSource } from "@rattanvane/base";
import {
  type IndirectProbeMessage,
  MessageKind,
  type MessageSender,
  type VmContact,
  type VmId,
  VmState,
} from "@rattanvane/protocol";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";
import {
  type GossipDisseminator,
  GossipExtent,
} from "./gossip_disseminator.ts";
import {
  type PendingProbe,
  type PendingProbes,
  ProbeOutcome,
} from "./pending_probes.ts";
import type { MembershipSettings } from "./settings.ts";
import { TokenBucket } from "./token_bucket.ts";
import type { VmRecord, VmTable } from "./vm_table.ts";

/** Sequence number of probes whose reply is not awaited. */
export const UNTRACKED_SEQUENCE = 0;

/**
 * Limit the rate of indirect probe rounds, so that they do not add load to a
 * zone that is already overloaded.
 */
const INDIRECT_ROUNDS_BURST = 15;
const INDIRECT_ROUNDS_PER_SECOND = 2;

/** Dependencies and settings of a {@link Prober}. */
export interface ProberOptions {
  self: VmContact;
  table: VmTable;
  pending: PendingProbes;
  gossip: GossipDisseminator;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  settings: MembershipSettings;
}

/**
 * Probes VMs concurrently, with at most one failure check per VM of the zone at
 * a time.
 */
export class Prober {
  readonly #options: ProberOptions;
  readonly #replyTimeout = new AdaptiveTimeout();
  readonly #indirectRounds: TokenBucket;
  readonly #inProgress = new Set<VmId>();

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#indirectRounds = new TokenBucket({
      clock: options.clock,
      burst: INDIRECT_ROUNDS_BURST,
      perSecond: INDIRECT_ROUNDS_PER_SECOND,
    });
  }

  /** Probes a VM of this VM's zone until it replies or is declared dead. */
  async probe(target: VmContact): Promise<void> {
    await this.#probeUnlessInProgress(
      target,
      (probe) => this.#runProbe(probe, target),
    );
  }

  /**
   * Probes a VM that another one has declared dead, and declares it dead unless
   * it replies. The other one has given it the time to refute the suspicion.
   */
  async confirmDeath(target: VmContact): Promise<void> {
    await this.#probeUnlessInProgress(target, async (probe) => {
      const outcome = await this.#probeInTwoSteps(probe, target);
      const record = this.#options.table.find(target.vm);
      if (outcome === ProbeOutcome.TimedOut && record !== undefined) {
        this.#declareDead(record);
      }
    });
  }

  async #probeUnlessInProgress(
    target: VmContact,
    run: (probe: PendingProbe) => Promise<void>,
  ): Promise<void> {
    if (this.#inProgress.has(target.vm)) {
      return;
    }
    const probe = this.#options.pending.start(target.vm);
    this.#inProgress.add(target.vm);
    try {
      await run(probe);
    } finally {
      this.#inProgress.delete(target.vm);
      this.#options.pending.remove(probe);
    }
  }

  /**
   * Probes a contact in another zone; declares it dead after two unanswered
   * probes.
   */
  async probeContact(target: VmContact): Promise<void> {
    const { pending, settings, table } = this.#options;
    const probe = pending.start(target.vm);
    try {
      this.#sendRegular(target, probe.sequence);
      let outcome = await probe.wait(settings.contactTimeoutMilliseconds);
      if (outcome === ProbeOutcome.TimedOut) {
        this.#sendRegular(target, probe.sequence);
        outcome = await probe.wait(settings.contactTimeoutMilliseconds);
      }
      const record = table.find(target.vm);
      if (outcome === ProbeOutcome.TimedOut && record !== undefined) {
        this.#declareDead(record);
      }
    } finally {
      pending.remove(probe);
    }
  }

  /** Probes a VM on behalf of another VM, and forwards the reply to it. */
  async probeOnBehalf(message: IndirectProbeMessage): Promise<void> {
    const { pending, settings, sender } = this.#options;
    const probe = pending.start(message.target.vm);
    try {
      this.#sendExtra(message.target, probe.sequence);
      const outcome = await probe.wait(settings.suspicionMilliseconds);
      if (outcome === ProbeOutcome.Answered) {
        sender.send(message.from.vm, {
          kind: MessageKind.IndirectProbeReply,
          sequence: message.sequence,
          target: message.target.vm,
        });
      }
    } finally {
      pending.remove(probe);
    }
  }

  /** Sends a probe outside the regular schedule whose reply is not awaited. */
  sendUntracked(target: VmContact): void {
    this.#sendExtra(target, UNTRACKED_SEQUENCE);
  }

  /** Sends a VM all that is known of the zone, in a probe. */
  sendZone(target: VmContact): void {
    this.#send(target, {
      sequence: UNTRACKED_SEQUENCE,
      extent: GossipExtent.Zone,
    });
  }

  #sendExtra(target: VmContact, sequence: number): void {
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
    sender.registerContact(target);
    sender.send(target.vm, {
      kind: MessageKind.Probe,
      sequence: options.sequence,
      from: self,
      gossip: gossip.build(target, options.extent),
    });
  }

  async #runProbe(probe: PendingProbe, target: VmContact): Promise<void> {
    const outcome = await this.#probeInTwoSteps(probe, target);
    if (outcome === ProbeOutcome.TimedOut) {
      const late = await this.#runSuspicion(target, probe);
      if (late === ProbeOutcome.Answered) {
        this.#replyTimeout.recordLateReply();
      }
    }
  }

  /** Probes a VM directly, and then through others as well. */
  async #probeInTwoSteps(
    probe: PendingProbe,
    target: VmContact,
  ): Promise<ProbeOutcome> {
    const { probeTimeoutMilliseconds } = this.#options.settings;
    const timeout = this.#replyTimeout.computeMilliseconds(
      probeTimeoutMilliseconds,
    );
    this.#sendRegular(target, probe.sequence);
    const direct = await probe.wait(timeout);
    if (direct === ProbeOutcome.Answered) {
      this.#replyTimeout.recordTimelyReply();
    }
    if (direct !== ProbeOutcome.TimedOut) {
      return direct;
    }
    this.#sendIndirectProbes(target, probe.sequence);
    const indirect = await probe.wait(timeout);
    if (indirect === ProbeOutcome.Answered) {
      this.#replyTimeout.recordLateReply();
    }
    return indirect;
  }

  #sendIndirectProbes(target: VmContact, sequence: number): void {
    const { self, table, random, sender, settings } = this.#options;
    if (this.#indirectRounds.take(1) === 0) {
      return;
    }
    const others = table.listZone(self.zone).filter((record) =>
      record.state === VmState.Live && record.contact.vm !== target.vm
    );
    const relays = random.shuffle(others).slice(
      0,
      settings.indirectProbes,
    );
    for (const relay of relays) {
      sender.send(relay.contact.vm, {
        kind: MessageKind.IndirectProbe,
        sequence,
        from: self,
        target,
      });
    }
  }

  /**
   * Suspects the target and probes it repeatedly, which informs it of the
   * suspicion. Declares it dead unless it replies or refutes the suspicion in
   * time; a pause of this process resets the count of unanswered probes.
   */
  async #runSuspicion(
    target: VmContact,
    probe: PendingProbe,
  ): Promise<ProbeOutcome> {
    const { table, gossip, settings } = this.#options;
    const record = table.find(target.vm);
    if (record === undefined) {
      return ProbeOutcome.Closed;
    }
    const { incarnation } = record;
    gossip.apply({ contact: target, state: VmState.Suspect, incarnation });
    const interval = settings.suspicionMilliseconds / settings.suspicionProbes;
    let unanswered = 0;
    while (unanswered < settings.suspicionProbes) {
      this.#sendExtra(target, probe.sequence);
      const outcome = await probe.wait(interval);
      const isSuperseded = record.incarnation !== incarnation ||
        record.state === VmState.Dead;
      if (isSuperseded || isFinal(outcome)) {
        return outcome;
      }
      unanswered = outcome === ProbeOutcome.Paused ? 0 : unanswered + 1;
    }
    this.#declareDead(record);
    return ProbeOutcome.TimedOut;
  }

  #declareDead(record: VmRecord): void {
    this.#options.gossip.apply({
      contact: record.contact,
      state: VmState.Dead,
      incarnation: record.incarnation,
    });
  }
}

/** Whether the outcome ends the suspicion without further probes. */
function isFinal(outcome: ProbeOutcome): boolean {
  return outcome === ProbeOutcome.Answered || outcome === ProbeOutcome.Closed;
}
