/** Creates the parts of a router and connects them. */

import { randomInt, randomUUID } from "node:crypto";
import { type Clock, type Logger, RandomSource } from "@rattanvane/base";
import {
  ConfigurationLog,
  ConfigurationPeer,
  ConfigurationStore,
  ConfigurationWatcher,
  type FleetConfiguration,
} from "@rattanvane/configuration";
import {
  DEFAULT_RETRY_BUDGET_SETTINGS,
  DEFAULT_SUSPECT_SETTINGS,
  RetryBudget,
  SuspectRegistry,
} from "@rattanvane/limits";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  Membership,
} from "@rattanvane/membership";
import {
  type CollectedRowWriter,
  generateKeySecret,
  KeyedCalls,
  KeyForwarder,
  type RowCleaner,
} from "@rattanvane/once";
import { HttpEndpointClient } from "@rattanvane/platform";
import { PeerNetwork, type VmContact } from "@rattanvane/protocol";
import {
  DEFAULT_OWNERSHIP_SETTINGS,
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  PoolOwnership,
  TermBook,
} from "@rattanvane/scheduling";
import type { RouterSettings } from "@rattanvane/settings";
import { Authenticator } from "./caller/authenticator.ts";
import { CallerServer } from "./caller/caller_server.ts";
import { LivenessHandler, ReadinessHandler } from "./caller/health_handlers.ts";
import { MetricsHandler, StatusHandler } from "./caller/operator_handlers.ts";
import { FleetView } from "./host/fleet_view.ts";
import { createKeyCleaner } from "./host/key_cleaner.ts";
import { LinkStates } from "./host/link_states.ts";
import { LoadPoller } from "./host/load_poller.ts";
import { MessageSwitch } from "./host/message_switch.ts";
import {
  createPlatformClients,
  type PlatformClients,
} from "./host/platform_clients.ts";
import { PoolRoles } from "./host/pool_roles.ts";
import { listZonePools } from "./host/service_pools.ts";
import { RouterGossip } from "./host/router_gossip.ts";
import { RouterState } from "./host/router_state.ts";
import { createRowWriter } from "./host/row_writer.ts";
import { SchedulerHost } from "./host/scheduler_host.ts";
import { BudgetedRetryPolicy } from "./ingress/budgeted_retry_policy.ts";
import { CallLedger } from "./ingress/call_ledger.ts";
import { CompletionHandler } from "./ingress/completion_handler.ts";
import { Dispatcher } from "./ingress/dispatcher.ts";
import { IngressContext } from "./ingress/ingress_context.ts";
import { KeysHandler } from "./ingress/keys_handler.ts";
import { ModelsHandler } from "./ingress/models_handler.ts";
import { OnceCallRunner } from "./ingress/once_call_runner.ts";
import { PlainHandler } from "./ingress/plain_handler.ts";
import { ResumeHandler } from "./ingress/resume_handler.ts";
import { RouterMetrics } from "./router_metrics.ts";

const HIGHEST_SEED = 0x7fffffff;
const KEY_FORWARD_TIMEOUT_MILLISECONDS = 60_000;
const KEY_FORWARD_RESEND_MILLISECONDS = 500;
/** How many VMs of a zone watch the change log. */
const WATCHERS_PER_ZONE = 2;

/** What a router is created from. */
export interface RouterPartsOptions {
  settings: RouterSettings;
  clock: Clock;
  logger: Logger;
}

/** The long-lived objects of one router; all end with one signal. */
export class RouterParts {
  readonly state = new RouterState();
  readonly terms = new TermBook();
  readonly ledger = new CallLedger();
  readonly store = new ConfigurationStore();
  readonly links: LinkStates;
  readonly random: RandomSource;
  readonly self: VmContact;
  readonly suspects: SuspectRegistry;
  readonly platform: PlatformClients;
  readonly network: PeerNetwork;
  readonly peer: ConfigurationPeer;
  readonly log: ConfigurationLog;
  readonly watcher: ConfigurationWatcher;
  readonly membership: Membership;
  readonly view: FleetView;
  readonly host: SchedulerHost;
  readonly ownership: PoolOwnership;
  readonly dispatcher: Dispatcher;
  readonly metrics: RouterMetrics;
  readonly keyedCalls: KeyedCalls;
  readonly keyCleaner: RowCleaner;
  readonly rowWriter: CollectedRowWriter;
  readonly server: CallerServer;
  readonly #options: RouterPartsOptions;
  readonly #signal: AbortSignal;
  readonly #endpoints: HttpEndpointClient;

  constructor(options: RouterPartsOptions, signal: AbortSignal) {
    const { settings, clock, logger } = options;
    this.#options = options;
    this.#signal = signal;
    this.self = createContact(settings);
    this.metrics = new RouterMetrics(clock);
    this.links = new LinkStates(clock);
    this.random = new RandomSource(settings.seed ?? randomInt(HIGHEST_SEED));
    this.suspects = new SuspectRegistry(clock, {
      ...DEFAULT_SUSPECT_SETTINGS,
      quarantineMilliseconds: settings.scheduling.quarantineMilliseconds,
    });
    this.platform = createPlatformClients(
      settings,
      {
        clock,
        random: this.random,
        countFailure: (kind) => this.metrics.platformFailures.inc({ kind }),
      },
      signal,
    );
    this.#endpoints = new HttpEndpointClient({
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
    this.dispatcher = new Dispatcher({
      self: settings.vm,
      ledger: this.ledger,
      directory: this.view,
      sender: this.network,
      clock,
      logger: logger.forPart("ingress"),
    });
    this.#registerGauges();
    const context = this.#createContext();
    const forwarder = this.#createForwarder((call, lifetime) =>
      runner.runForwarded(call, lifetime)
    );
    this.rowWriter = createRowWriter(settings, { ...this, clock }, signal);
    this.keyCleaner = createKeyCleaner({
      ...this,
      clock,
      logger: logger.forPart("once"),
      findConfiguration: () => this.findConfiguration(),
    });
    this.keyedCalls = this.#createKeyedCalls(forwarder);
    const runner = new OnceCallRunner({ context, calls: this.keyedCalls });
    this.server = this.#createServer(context, runner);
    this.messages = new MessageSwitch({ ...this, forwarder });
  }

  readonly messages: MessageSwitch;

  /** The configuration in force; undefined before there is one. */
  findConfiguration(): FleetConfiguration | undefined {
    const { current } = this.store;
    return current.version === 0 ? undefined : current;
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
      receive: (from, message) => this.messages.handle(from, message),
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

  /** The VMs with the first names of the zone watch for all. */
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
      observer: this.metrics.scheduler,
      poller: new LoadPoller({
        client: this.#endpoints,
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

  #registerGauges(): void {
    this.metrics.registerGauges({
      countWaiting: () => this.ledger.waiting,
      countRunning: () => this.ledger.running,
      listPools: () => this.host.describeStatus(),
      countQuarantined: () => this.suspects.countQuarantined(),
      countLiveVms: () => this.membership.listLive(this.self.zone).length,
      readConfigurationVersion: () => this.store.current.version,
      readTraffic: () => this.network.traffic,
    });
  }

  #createContext(): IngressContext {
    const { settings, clock, logger } = this.#options;
    const { limits, requests } = settings;
    const budget = new RetryBudget(clock, {
      ...DEFAULT_RETRY_BUDGET_SETTINGS,
      ratio: requests.retryBudgetRatio,
    });
    return new IngressContext({
      authenticator: new Authenticator(),
      ledger: this.ledger,
      limits: { ...limits, ...requests },
      clock,
      findConfiguration: () => this.findConfiguration(),
      findObstacle: () => this.state.findObstacle(),
      environment: {
        dispatcher: this.dispatcher,
        client: this.#endpoints,
        retries: new BudgetedRetryPolicy(budget, this.random),
        clock,
        logger: logger.forPart("ingress"),
        metrics: this.metrics.ingress,
        limits: { ...requests, plainAnswerBytes: limits.bodyBytes },
        fleetKeys: settings.fleetKeys,
        findEndpoint: (endpoint) => this.store.current.endpoints.get(endpoint),
      },
    });
  }

  #createForwarder(
    runForwarded: ConstructorParameters<typeof KeyForwarder>[0]["runForwarded"],
  ): KeyForwarder {
    return new KeyForwarder({
      process: this.#options.settings.vm + randomUUID(),
      sender: this.network,
      clock: this.#options.clock,
      isLive: (vm) => this.view.isLive(vm),
      isReachable: (vm) => this.view.isReachable(vm),
      runForwarded,
      timeoutMilliseconds: KEY_FORWARD_TIMEOUT_MILLISECONDS,
      resendMilliseconds: KEY_FORWARD_RESEND_MILLISECONDS,
    }, this.#signal);
  }

  #createKeyedCalls(forwarder: KeyForwarder): KeyedCalls {
    const { settings, clock, logger } = this.#options;
    const incarnation = randomUUID();
    const { table, objects } = this.platform;
    return new KeyedCalls({
      vm: settings.vm,
      incarnation,
      secret: generateKeySecret(),
      table,
      objects,
      writer: this.rowWriter,
      forwarder,
      clock,
      random: this.random,
      logger: logger.forPart("once"),
      limits: settings.once,
    }, this.#signal);
  }

  #createServer(context: IngressContext, runner: OnceCallRunner): CallerServer {
    const { settings, logger } = this.#options;
    const { limits, requests, operatorKeyHashes } = settings;
    return new CallerServer({
      host: settings.listen.host,
      port: settings.listen.callerPort,
      headerBytes: limits.headerBytes,
      headersTimeoutMilliseconds: limits.headersTimeoutMilliseconds,
      answers: {
        bufferBytes: limits.answerBufferBytes,
        stallMilliseconds: requests.idleTimeoutMilliseconds,
      },
      countError: (kind) => this.metrics.ingress.callerErrors.inc({ kind }),
      logger: logger.forPart("caller"),
      handlers: [
        new LivenessHandler(),
        new ReadinessHandler(() => this.state.findReadinessObstacle()),
        new MetricsHandler(this.metrics.registry, operatorKeyHashes),
        new StatusHandler(() => this.describeStatus(), operatorKeyHashes),
        new CompletionHandler(context),
        new ResumeHandler(context),
        new ModelsHandler(context),
        new KeysHandler(context, runner),
        new PlainHandler(context, runner),
      ],
    });
  }

  /** Describes the fleet as this VM sees it. */
  describeStatus(): object {
    const { settings } = this.#options;
    return {
      vm: settings.vm,
      zone: settings.zone,
      phase: this.state.phase,
      configurationVersion: this.store.current.version,
      vms: this.membership.listLive(settings.zone),
      zones: [...this.store.current.zones.values()],
      terms: this.terms.list(),
      pools: this.host.describeStatus(),
      waiting: this.ledger.waiting,
      running: this.ledger.running,
    };
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
