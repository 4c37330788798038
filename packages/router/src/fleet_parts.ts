/** Creates the components of a router that coordinate with the fleet. */

import { randomInt } from "node:crypto";
import { type Clock, type Logger, RandomSource } from "@rattanvane/base";
import {
  ConfigurationLog,
  ConfigurationPeer,
  ConfigurationStore,
  ConfigurationWatcher,
  type FleetConfiguration,
} from "@rattanvane/configuration";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  Membership,
} from "@rattanvane/membership";
import { HttpEndpointClient } from "@rattanvane/platform";
import {
  type Message,
  PeerNetwork,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import {
  DEFAULT_OWNERSHIP_SETTINGS,
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  PoolOwnership,
  TermRegistry,
} from "@rattanvane/scheduling";
import type { RouterSettings } from "@rattanvane/settings";
import { FleetView } from "./host/fleet_view.ts";
import { LinkStates } from "./host/link_states.ts";
import { LoadPoller } from "./host/load_poller.ts";
import {
  createPlatformClients,
  type PlatformClients,
} from "./host/platform_clients.ts";
import { PoolRoles } from "./host/pool_roles.ts";
import { RouterGossip } from "./host/router_gossip.ts";
import { SchedulerHost } from "./host/scheduler_host.ts";
import { listZonePools } from "./host/service_pools.ts";
import type { RouterMetrics } from "./router_metrics.ts";

const MAXIMUM_SEED = 0x7fffffff;
/** The number of VMs in a zone that poll the change log. */
const WATCHERS_PER_ZONE = 2;

/** Settings and dependencies of FleetParts. */
export interface FleetPartsOptions {
  settings: RouterSettings;
  clock: Clock;
  logger: Logger;
  metrics: RouterMetrics;
  /** Called with each message from a peer. */
  receive: (from: VmId, message: Message) => void;
}

/** The network, membership, configuration and schedulers of one router. */
export class FleetParts {
  readonly terms = new TermRegistry();
  readonly store = new ConfigurationStore();
  readonly links: LinkStates;
  readonly random: RandomSource;
  readonly self: VmContact;
  readonly suspects: SuspectRegistry;
  readonly platform: PlatformClients;
  readonly endpoints: HttpEndpointClient;
  readonly network: PeerNetwork;
  readonly peer: ConfigurationPeer;
  readonly log: ConfigurationLog;
  readonly watcher: ConfigurationWatcher;
  readonly membership: Membership;
  readonly view: FleetView;
  readonly host: SchedulerHost;
  readonly ownership: PoolOwnership;
  readonly #options: FleetPartsOptions;
  readonly #signal: AbortSignal;

  constructor(options: FleetPartsOptions, signal: AbortSignal) {
    const { settings, clock } = options;
    this.#options = options;
    this.#signal = signal;
    this.self = createContact(settings);
    this.links = new LinkStates(clock);
    this.random = new RandomSource(settings.seed ?? randomInt(MAXIMUM_SEED));
    this.suspects = new SuspectRegistry(clock, {
      ...DEFAULT_SUSPECT_SETTINGS,
      quarantineMilliseconds: settings.scheduling.quarantineMilliseconds,
    });
    this.platform = this.#createPlatform();
    this.endpoints = new HttpEndpointClient({
      clock,
      idleTimeoutMilliseconds: settings.requests.idleTimeoutMilliseconds,
      localAddress: settings.listen.host,
    }, signal);
    this.network = this.#createNetwork();
    this.peer = this.#createPeer();
    this.log = new ConfigurationLog(
      this.platform.table,
      this.platform.objects,
    );
    this.membership = this.#createMembership();
    this.watcher = this.#createWatcher();
    this.view = this.#createView();
    this.host = this.#createHost();
    this.ownership = this.#createOwnership();
  }

  /** Returns the current configuration; undefined before the first one. */
  findConfiguration(): FleetConfiguration | undefined {
    const { current } = this.store;
    return current.version === 0 ? undefined : current;
  }

  #createPlatform(): PlatformClients {
    const { settings, clock, metrics } = this.#options;
    return createPlatformClients(
      settings,
      {
        clock,
        random: this.random,
        countFailure: (kind) => metrics.platformFailures.inc({ kind }),
      },
      this.#signal,
    );
  }

  #createNetwork(): PeerNetwork {
    const { settings, clock, logger } = this.#options;
    return new PeerNetwork({
      self: this.self,
      listen: {
        host: settings.listen.host,
        port: settings.listen.controlPort,
      },
      fleetKeys: settings.fleetKeys,
      clock,
      random: this.random,
      logger: logger.forPart("protocol"),
      receive: this.#options.receive,
    });
  }

  #createPeer(): ConfigurationPeer {
    const { clock, logger, settings } = this.#options;
    return new ConfigurationPeer({
      store: this.store,
      sender: this.network,
      clock,
      random: this.random,
      logger: logger.forPart("configuration"),
      listPeers: () =>
        this.membership.listLive(settings.zone)
          .map((contact) => contact.vm)
          .filter((vm) => vm !== settings.vm),
    });
  }

  #createMembership(): Membership {
    const { settings, clock, logger } = this.#options;
    const { membership } = settings;
    return new Membership({
      self: this.self,
      sender: this.network,
      clock,
      random: this.random,
      logger: logger.forPart("membership"),
      settings: {
        ...DEFAULT_MEMBERSHIP_SETTINGS,
        peers: settings.peers,
        ...membership,
      },
      gossip: new RouterGossip({
        store: this.store,
        peer: this.peer,
        suspects: this.suspects,
        terms: this.terms,
      }),
    });
  }

  #createWatcher(): ConfigurationWatcher {
    const { settings, clock, logger } = this.#options;
    return new ConfigurationWatcher({
      log: this.log,
      store: this.store,
      clock,
      random: this.random,
      logger: logger.forPart("configuration"),
      pollMilliseconds: settings.configuration.pollMilliseconds,
      isWatcher: () => this.#isWatcher(),
    });
  }

  /** The VMs of the zone whose names sort first poll for the others. */
  #isWatcher(): boolean {
    const { settings } = this.#options;
    const names = this.membership.listLive(settings.zone)
      .map((contact) => contact.vm)
      .sort();
    return names.slice(0, WATCHERS_PER_ZONE).includes(settings.vm);
  }

  #createView(): FleetView {
    return new FleetView({
      self: this.self,
      region: this.#options.settings.region,
      terms: this.terms,
      view: this.membership,
      findConfiguration: () => this.findConfiguration(),
      isDisconnected: (vm) => this.links.isDisconnected(vm),
    });
  }

  #createHost(): SchedulerHost {
    const { settings, clock, logger } = this.#options;
    const { scheduling } = settings;
    return new SchedulerHost({
      self: settings.vm,
      zone: settings.zone,
      sender: this.network,
      clock,
      random: this.random,
      logger: logger.forPart("scheduler"),
      settings: {
        ...DEFAULT_POOL_SCHEDULER_SETTINGS,
        counterPeriodMilliseconds: scheduling.counterPeriodMilliseconds,
        offerIntervalMilliseconds: scheduling.offerPeriodMilliseconds,
        rebuildMilliseconds: scheduling.rebuildMilliseconds,
      },
      suspects: this.suspects,
      observer: this.#options.metrics.scheduler,
      poller: new LoadPoller({
        client: this.endpoints,
        clock,
        random: this.random,
        periodMilliseconds: scheduling.loadPeriodMilliseconds,
      }),
      findConfiguration: () => this.findConfiguration(),
      findPeers: (pool) => this.view.findPeers(pool),
      findTerm: (pool) => this.view.findTerm(pool),
      findContact: (vm) => this.membership.findContact(vm),
    });
  }

  #createOwnership(): PoolOwnership {
    const { settings, clock, logger } = this.#options;
    return new PoolOwnership({
      self: this.self,
      zone: this.membership,
      table: this.platform.table,
      terms: this.terms,
      clock,
      random: this.random,
      logger: logger.forPart("ownership"),
      settings: {
        ...DEFAULT_OWNERSHIP_SETTINGS,
        leaseMilliseconds: settings.scheduling.leaseMilliseconds,
      },
      listener: new PoolRoles({
        host: this.host,
        logger: logger.forPart("ownership"),
      }, this.#signal),
      listPools: () => listZonePools(settings.zone, this.findConfiguration()),
      announce: (term) => this.membership.announceTerm(term),
    });
  }
}

function createContact(settings: RouterSettings): VmContact {
  const { host, controlPort, callerPort } = settings.advertise;
  return {
    vm: settings.vm,
    zone: settings.zone,
    host,
    controlPort,
    callerPort,
  };
}
