/** The lifecycle of a router: joins the fleet, serves requests, leaves. */

import {
  type Clock,
  createLifetime,
  createLogger,
  describeError,
  type Logger,
  SystemClock,
} from "@rattanvane/base";
import { waitUntilJoined } from "@rattanvane/configuration";
import { MembershipChangeKind } from "@rattanvane/membership";
import type { RouterSettings } from "@rattanvane/settings";
import { RouterPhase } from "./host/router_state.ts";
import { runVmListReader } from "./host/vm_list_reader.ts";
import { RouterParts } from "./router_parts.ts";

const JOIN_WINDOW_MILLISECONDS = 1_500;
const DRAIN_POLL_MILLISECONDS = 20;

/** Options of runRouter. */
export interface RunRouterOptions {
  settings: RouterSettings;
}

/**
 * Runs a router until the signal aborts, and then until all its requests are
 * finished or the shutdown timeout expires. Throws when a port is in use.
 */
export async function runRouter(
  options: RunRouterOptions,
  signal: AbortSignal,
): Promise<void> {
  const { settings } = options;
  const router = new Router(settings, {
    clock: new SystemClock(),
    logger: createLogger("router", settings.log.level),
  });
  await router.run(signal);
}

/** A router, which serves callers and schedules pools. */
export class Router {
  readonly #settings: RouterSettings;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #lifetime = createLifetime();
  readonly #parts: RouterParts;

  constructor(
    settings: RouterSettings,
    options: { clock: Clock; logger: Logger },
  ) {
    this.#settings = settings;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#parts = new RouterParts(
      { settings, ...options },
      this.#lifetime.signal,
    );
  }

  /**
   * Serves until the signal aborts, then drains. Requests that still run when
   * the shutdown timeout expires are aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    try {
      await this.#start();
      await this.#join(signal);
      await waitForAbort(signal);
      await this.#leave();
    } finally {
      this.#lifetime.abort();
    }
    this.#logger.info("stopped");
  }

  async #start(): Promise<void> {
    const { fleet, ingress } = this.#parts;
    const { signal } = this.#lifetime;
    this.#connectParts();
    await fleet.network.start(signal);
    await ingress.server.start(signal);
    this.#runTask("membership", fleet.membership.run(signal));
    this.#runTask("configuration peer", fleet.peer.run(signal));
    this.#runTask("configuration watcher", fleet.watcher.run(signal));
    this.#runTask("dispatcher", ingress.dispatcher.run(signal));
    this.#runTask("key cleaner", ingress.keyCleaner.run(signal));
    this.#runTask(
      "VM list reader",
      runVmListReader({
        vms: fleet.platform.vms,
        membership: fleet.membership,
        clock: this.#clock,
        random: fleet.random,
        logger: this.#logger.forPart("membership"),
      }, signal),
    );
    this.#runTask("pool ownership", fleet.ownership.run(signal));
    this.#logger.info("listening", {
      vm: this.#settings.vm,
      zone: this.#settings.zone,
      callerPort: this.#settings.listen.callerPort,
      controlPort: this.#settings.listen.controlPort,
    });
  }

  #connectParts(): void {
    const { links, network, store, host, terms, membership } =
      this.#parts.fleet;
    const { dispatcher } = this.#parts.ingress;
    const { signal } = this.#lifetime;
    const reconnected = (vm: string) => dispatcher.handleLinkRestored(vm);
    links.startTracking(network, { reconnected }, signal);
    store.changed.listen((configuration) => {
      host.updateConfiguration(configuration);
      host.updatePeers();
    }, signal);
    terms.changes.listen((term) => {
      network.registerContact(term.contact);
      if (term.term.holder !== this.#settings.vm) {
        void host.retire(term.pool, signal);
      }
      dispatcher.handleTermChange(term.pool);
      host.updatePeers();
    }, signal);
    membership.changes.listen((change) => {
      if (change.kind !== MembershipChangeKind.Died) {
        network.registerContact(change.contact);
      }
      if (change.kind === MembershipChangeKind.Renewed) {
        host.checkIngress(change.contact.vm);
      }
      host.updatePeers();
    }, signal);
    for (const peer of this.#settings.peers) {
      network.registerContact(peer);
    }
  }

  async #join(signal: AbortSignal): Promise<void> {
    const { fleet, state } = this.#parts;
    const { log, store } = fleet;
    await waitUntilJoined({
      log,
      store,
      clock: this.#clock,
      windowMilliseconds: JOIN_WINDOW_MILLISECONDS,
    }, signal);
    if (signal.aborted) {
      return;
    }
    state.phase = RouterPhase.Serving;
    this.#logger.info("ready to serve requests", {
      version: store.current.version,
    });
  }

  /**
   * Fails /readyz and hands over the pools, but accepts requests until the load
   * balancer has had time to notice. Then finishes the remaining requests.
   */
  async #leave(): Promise<void> {
    const { fleet, ingress, state } = this.#parts;
    const { server, callRegistry } = ingress;
    const { shutdown } = this.#settings;
    const startedAt = this.#clock.now();
    const endsAt = startedAt + shutdown.longestMilliseconds;
    const noticeEndsAt = startedAt + shutdown.noticeMilliseconds;
    this.#logger.info("shutting down", { active: server.active });
    state.phase = RouterPhase.Leaving;
    server.closeAfterAnswers();
    fleet.membership.announceLeave();
    const handedOver = fleet.ownership.handOverAll(this.#lifetime.signal);
    await this.#waitUntil(() => false, Math.min(noticeEndsAt, endsAt));
    server.stopAccepting();
    // A call with an idempotency key continues after its caller disconnects.
    const isIdle = () => server.active === 0 && callRegistry.size === 0;
    await this.#waitUntil(isIdle, endsAt);
    await this.#waitUntilSettled(handedOver, endsAt);
    if (!isIdle()) {
      this.#logger.warn("shutdown timeout expired with requests in progress", {
        cut: Math.max(server.active, callRegistry.size),
      });
    }
  }

  /**
   * Waits, up to a time limit, until the pools are handed over and the results
   * of calls are written to the platform.
   */
  async #waitUntilSettled(
    handedOver: Promise<void>,
    endsAt: number,
  ): Promise<void> {
    let settled = false;
    const settling = [handedOver, this.#parts.ingress.keyedCalls.settle()];
    void Promise.allSettled(settling).then(() => {
      settled = true;
    });
    await this.#waitUntil(() => settled, endsAt);
  }

  async #waitUntil(condition: () => boolean, endsAt: number): Promise<void> {
    while (!condition() && this.#clock.now() < endsAt) {
      await this.#clock.sleep(DRAIN_POLL_MILLISECONDS, this.#lifetime.signal);
    }
  }

  #runTask(name: string, task: Promise<void>): void {
    task.catch((thrown) => {
      this.#logger.error("background task failed", {
        task: name,
        reason: describeError(thrown),
      });
    });
  }
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return;
  }
  await new Promise<void>((resolve) => {
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
