/** An in-process fleet that distributes a configuration, for tests. */

import { setMaxListeners } from "node:events";
import { createSilentLogger, RandomSource } from "@rattanvane/base";
import {
  type ConfigurationMessage,
  type Message,
  MessageKind,
  MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import { waitUntilJoined } from "../configuration_join.ts";
import { ConfigurationPeer } from "../configuration_peer.ts";
import { ConfigurationStore } from "../configuration_store.ts";
import { ConfigurationWatcher } from "../configuration_watcher.ts";
import type { MemoryPlatform } from "./memory_platform.ts";

const LATENCY_MILLISECONDS = 1;
const POLL_MILLISECONDS = 1_000;
const PROBE_MILLISECONDS = 500;
const JOIN_MILLISECONDS = 1_500;

/** One VM of the fleet. */
export interface MemoryVm {
  vm: VmId;
  store: ConfigurationStore;
  peer: ConfigurationPeer;
  /** The versions in the order in which they were applied. */
  versions: number[];
  /** Whether it may serve requests. */
  hasJoined: boolean;
  /** Stops its tasks. */
  stop(): void;
}

/** Options of an in-memory fleet. */
export interface MemoryFleetOptions {
  platform: MemoryPlatform;
  vms: VmId[];
  watchers?: VmId[];
  /** Lists the VMs to which a VM may announce a version; default: all. */
  listPeers?: (vm: VmId) => VmId[];
}

/** Runs VMs over an in-memory network. */
export class MemoryFleet {
  readonly vms = new Map<VmId, MemoryVm>();
  /** VMs that are partitioned from all others in both directions. */
  readonly cut = new Set<VmId>();
  /** VMs whose answers are dropped. */
  readonly silent = new Set<VmId>();
  /** The total bytes sent, by sender. */
  readonly sentBytes = new Map<VmId, number>();
  largestMessageBytes = 0;
  readonly #options: MemoryFleetOptions;
  readonly #random = new RandomSource(11);
  readonly #ended = new AbortController();
  #started = 0;

  constructor(options: MemoryFleetOptions) {
    this.#options = options;
    // Each message in flight adds a listener to this signal.
    setMaxListeners(0, this.#ended.signal);
    options.vms.forEach((vm) => this.start(vm));
  }

  /** Starts or restarts a VM with an empty store. */
  start(vm: VmId): MemoryVm {
    this.vms.get(vm)?.stop();
    const { clock, log } = this.#options.platform;
    const ending = new AbortController();
    const signal = AbortSignal.any([ending.signal, this.#ended.signal]);
    const store = new ConfigurationStore();
    const random = new RandomSource(++this.#started);
    const logger = createSilentLogger();
    const common = { store, clock, random, logger };
    const peer = new ConfigurationPeer({
      ...common,
      sender: new FleetSender(this, vm),
      listPeers: () => this.#listPeers(vm),
    });
    const watcher = new ConfigurationWatcher({
      ...common,
      log,
      pollMilliseconds: POLL_MILLISECONDS,
      isWatcher: () => this.#options.watchers?.includes(vm) ?? false,
    });
    const started: MemoryVm = {
      vm,
      store,
      peer,
      versions: [],
      hasJoined: false,
      stop: () => ending.abort(),
    };
    store.changed.listen(({ version }) => {
      started.versions.push(version);
    }, signal);
    peer.run(signal);
    watcher.run(signal);
    const joining = {
      log,
      store,
      clock,
      windowMilliseconds: JOIN_MILLISECONDS,
    };
    waitUntilJoined(joining, signal).then(() => {
      started.hasJoined = !signal.aborted;
    });
    this.vms.set(vm, started);
    return started;
  }

  /** Advances the clock; each VM regularly receives a random peer's version. */
  async advance(milliseconds: number): Promise<void> {
    const { clock } = this.#options.platform;
    const end = clock.now() + milliseconds;
    while (clock.now() < end) {
      await clock.advance(Math.min(PROBE_MILLISECONDS, end - clock.now()));
      this.#probeAll();
    }
  }

  /** Lists the distinct versions of the VMs. */
  listVersions(): number[] {
    const versions = [...this.vms.values()].map(({ store }) =>
      store.current.version
    );
    return [...new Set(versions)].sort((first, second) => first - second);
  }

  /** Stops all tasks. */
  stop(): void {
    this.#ended.abort();
  }

  /** Delivers a message after the simulated latency. */
  async send(from: VmId, step: { to: VmId; message: Message }): Promise<void> {
    const { message, to } = step;
    const bytes = countBytes(message);
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
    this.largestMessageBytes = Math.max(this.largestMessageBytes, bytes);
    const { signal } = this.#ended;
    await this.#options.platform.clock.sleep(LATENCY_MILLISECONDS, signal);
    const isAnswer = message.kind === MessageKind.Changes;
    if (this.#isCut(from, to) || (isAnswer && this.silent.has(from))) {
      return;
    }
    this.vms.get(to)?.peer.handle(from, message as ConfigurationMessage);
  }

  #listPeers(vm: VmId): VmId[] {
    const peers = this.#options.listPeers?.(vm) ?? this.#options.vms;
    return peers.filter((peer) => peer !== vm);
  }

  #isCut(from: VmId, to: VmId): boolean {
    return this.cut.has(from) || this.cut.has(to);
  }

  #probeAll(): void {
    for (const { peer, vm } of this.vms.values()) {
      const probed = this.#random.pick(this.#listPeers(vm));
      if (probed === undefined || this.#isCut(vm, probed)) {
        continue;
      }
      const version = this.vms.get(probed)?.store.current.version ?? 0;
      peer.receiveVersion(probed, version);
    }
  }
}

class FleetSender extends MessageSender {
  readonly #fleet: MemoryFleet;
  readonly #vm: VmId;

  constructor(fleet: MemoryFleet, vm: VmId) {
    super();
    this.#fleet = fleet;
    this.#vm = vm;
  }

  override send(vm: VmId, message: Message): void {
    this.#fleet.send(this.#vm, { to: vm, message });
  }

  override registerContact(_contact: VmContact): void {}
}

/** Slightly overestimates the size in the inner protocol's encoding. */
function countBytes(message: Message): number {
  if (message.kind !== MessageKind.Changes || message.snapshot === undefined) {
    return JSON.stringify(message).length;
  }
  const content = message.snapshot.content.length;
  const snapshot = { ...message.snapshot, content: "" };
  return JSON.stringify({ ...message, snapshot }).length + content;
}
