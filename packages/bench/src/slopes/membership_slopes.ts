/** What failure detection costs a VM at several sizes of the zones. */

import { setMaxListeners } from "node:events";
import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  GossipExchange,
  type LocalGossip,
  Membership,
} from "@rattanvane/membership";
import {
  decodeMessage,
  encodeMessage,
  type MembershipMessage,
  type Message,
  MessageSender,
  type PoolTerm,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import { TermRegistry } from "@rattanvane/scheduling";
import { readProcessorMicroseconds } from "./resources.ts";
import { createSampleContact, SAMPLE_POOL } from "./sample_messages.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
const VMS_IN_ZONE = [10, 21, 42, 84];
const SETTLE_MILLISECONDS = 40_000;
const MEASURED_MILLISECONDS = 30_000;
const MILLISECONDS_PER_SECOND = 1000;
const POOLS_IN_ZONE = 23;
const ANNOUNCE_MILLISECONDS = 30_000;
const LATENCY_MILLISECONDS = 1;
/** Length, seal and sequence of each frame on the wire. */
const FRAME_BYTES = 20;
/** The settings file's defaults. */
const SETTINGS = {
  ...DEFAULT_MEMBERSHIP_SETTINGS,
  probePeriodMilliseconds: 500,
  probeTimeoutMilliseconds: 250,
  suspicionMilliseconds: 1500,
};

/** Takes terms into a book and passes on what was news, as routers do. */
class TermExchange extends GossipExchange {
  readonly terms = new TermRegistry();

  override collectLocal(): LocalGossip {
    return { configurationVersion: 1, suspects: [] };
  }

  override receiveVersion(): void {}

  override receiveSuspects(): void {}

  override receiveTerm(_from: VmId, term: PoolTerm): boolean {
    return this.terms.record(term);
  }

  override listTerms(): readonly PoolTerm[] {
    return this.terms.list();
  }
}

/** All VMs of a fleet in one process, with real messages between them. */
class MembershipFleet {
  readonly clock = new ManualClock();
  sentBytes = 0;
  readonly #members = new Map<VmId, Membership>();
  readonly #contacts: VmContact[];
  readonly #end = new AbortController();

  constructor(vmsInZone: number) {
    this.#contacts = ZONES.flatMap((zone) =>
      Array.from(
        { length: vmsInZone },
        (_, index) => createSampleContact(index, zone),
      )
    );
  }

  get size(): number {
    return this.#contacts.length;
  }

  /** Starts all VMs, and the announcements of terms. */
  start(): void {
    setMaxListeners(0, this.#end.signal);
    for (const [index, self] of this.#contacts.entries()) {
      this.#startVm(self, index);
    }
    void this.#announce();
  }

  stop(): void {
    this.#end.abort();
  }

  /** Delivers a message a moment later, as bytes. */
  deliver(from: VmId, to: VmId, message: Message): void {
    const payload = encodeMessage(message);
    this.sentBytes += payload.length + FRAME_BYTES;
    void this.clock.sleep(LATENCY_MILLISECONDS, this.#end.signal).then(() => {
      const decoded = decodeMessage(payload)._unsafeUnwrap();
      this.#members.get(to)?.handle(from, decoded as MembershipMessage);
    });
  }

  #startVm(self: VmContact, seed: number): void {
    const member = new Membership({
      self,
      sender: new FleetSender(self.vm, this),
      clock: this.clock,
      random: new RandomSource(seed + 1),
      logger: createSilentLogger(),
      settings: { ...SETTINGS, peers: [] },
      gossip: new TermExchange(),
    });
    this.#members.set(self.vm, member);
    member.addSeeds(
      this.#contacts.map((contact) => ({ ...contact, leaving: false })),
    );
    void member.run(this.#end.signal);
  }

  /** Each pool's holder announces its term again now and then. */
  async #announce(): Promise<void> {
    const { signal } = this.#end;
    while (!signal.aborted) {
      for (const zone of ZONES) {
        for (let pool = 0; pool < POOLS_IN_ZONE; pool++) {
          this.#announceTerm(zone, pool);
        }
      }
      await this.clock.sleep(ANNOUNCE_MILLISECONDS, signal);
    }
  }

  #announceTerm(zone: string, pool: number): void {
    const inZone = this.#contacts.filter((contact) => contact.zone === zone);
    const contact = inZone[pool % inZone.length];
    if (contact !== undefined) {
      this.#members.get(contact.vm)?.announceTerm({
        pool: { zone, service: `${SAMPLE_POOL.service}-${pool}` },
        term: { number: 1, holder: contact.vm },
        contact,
      });
    }
  }
}

class FleetSender extends MessageSender {
  readonly #from: VmId;
  readonly #fleet: MembershipFleet;

  constructor(from: VmId, fleet: MembershipFleet) {
    super();
    this.#from = from;
    this.#fleet = fleet;
  }

  override registerContact(): void {}

  override send(vm: VmId, message: Message): void {
    this.#fleet.deliver(this.#from, vm, message);
  }
}

/** Measures bytes sent and processor time of a VM in five quiet zones. */
export async function measureMembershipSlopes(): Promise<Slope[]> {
  const bytes: SlopePoint[] = [];
  const microseconds: SlopePoint[] = [];
  for (const size of VMS_IN_ZONE) {
    const fleet = new MembershipFleet(size);
    fleet.start();
    await fleet.clock.advance(SETTLE_MILLISECONDS);
    const sentBefore = fleet.sentBytes;
    const usedBefore = readProcessorMicroseconds();
    await fleet.clock.advance(MEASURED_MILLISECONDS);
    const seconds = MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const share = fleet.size * seconds;
    bytes.push({ size, value: (fleet.sentBytes - sentBefore) / share });
    const used = readProcessorMicroseconds() - usedBefore;
    microseconds.push({ size, value: used / share });
    fleet.stop();
  }
  return [
    {
      name: "probes and gossip, sent by a VM a second",
      sizeUnit: "VM of the zone",
      unit: "bytes/s",
      points: bytes,
    },
    {
      name: "probes and gossip, without sockets, a VM a second",
      sizeUnit: "VM of the zone",
      unit: "us/s",
      points: microseconds,
    },
  ];
}
