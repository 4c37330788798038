/** Creates the components of a router that serve callers. */

import { randomUUID } from "node:crypto";
import { BufferCollector, type Clock, type Logger } from "@rattanvane/base";
import {
  CallerMemory,
  DEFAULT_RETRY_BUDGET_SETTINGS,
  RetryBudget,
} from "@rattanvane/limits";
import {
  type ForwardingRowWriter,
  generateKeySecret,
  KeyedCalls,
  KeyForwarder,
  type RowCleaner,
} from "@rattanvane/once";
import type { RouterSettings } from "@rattanvane/settings";
import { Authenticator } from "./caller/authenticator.ts";
import { CallerServer } from "./caller/caller_server.ts";
import { LivenessHandler, ReadinessHandler } from "./caller/health_handlers.ts";
import { MetricsHandler, StatusHandler } from "./caller/operator_handlers.ts";
import type { FleetParts } from "./fleet_parts.ts";
import { createKeyCleaner } from "./host/key_cleaner.ts";
import type { RouterState } from "./host/router_state.ts";
import { createRowWriter } from "./host/row_writer.ts";
import { BudgetedRetryPolicy } from "./ingress/budgeted_retry_policy.ts";
import { ActiveCallRegistry } from "./ingress/active_call_registry.ts";
import { CompletionHandler } from "./ingress/completion_handler.ts";
import { Dispatcher } from "./ingress/dispatcher.ts";
import { IngressContext } from "./ingress/ingress_context.ts";
import { KeysHandler } from "./ingress/keys_handler.ts";
import { ModelsHandler } from "./ingress/models_handler.ts";
import { OnceCallRunner } from "./ingress/once_call_runner.ts";
import { PlainHandler } from "./ingress/plain_handler.ts";
import { ResumeHandler } from "./ingress/resume_handler.ts";
import type { RouterMetrics } from "./router_metrics.ts";

const KEY_FORWARD_TIMEOUT_MILLISECONDS = 60_000;
const KEY_FORWARD_RESEND_MILLISECONDS = 500;

/** Settings and dependencies of IngressParts. */
export interface IngressPartsOptions {
  settings: RouterSettings;
  clock: Clock;
  logger: Logger;
  metrics: RouterMetrics;
  state: RouterState;
  fleet: FleetParts;
  /** Returns the state of the fleet for the status endpoint. */
  describeStatus: () => object;
}

/** The ledger, dispatcher, keyed calls and HTTP server of one router. */
export class IngressParts {
  readonly callRegistry = new ActiveCallRegistry();
  readonly dispatcher: Dispatcher;
  readonly rowWriter: ForwardingRowWriter;
  readonly keyCleaner: RowCleaner;
  readonly keyedCalls: KeyedCalls;
  readonly forwarder: KeyForwarder;
  readonly server: CallerServer;
  readonly #options: IngressPartsOptions;
  readonly #signal: AbortSignal;

  constructor(options: IngressPartsOptions, signal: AbortSignal) {
    const { settings, clock, logger, fleet } = options;
    this.#options = options;
    this.#signal = signal;
    this.dispatcher = new Dispatcher({
      self: settings.vm,
      callRegistry: this.callRegistry,
      directory: fleet.view,
      sender: fleet.network,
      clock,
      logger: logger.forPart("ingress"),
    });
    this.rowWriter = createRowWriter(settings, { ...fleet, clock }, signal);
    this.keyCleaner = createKeyCleaner({
      ...fleet,
      rowWriter: this.rowWriter,
      clock,
      logger: logger.forPart("once"),
      findConfiguration: () => fleet.findConfiguration(),
    });
    const context = this.#createContext();
    this.forwarder = this.#createForwarder((call, lifetime) =>
      runner.runForwarded(call, lifetime)
    );
    this.keyedCalls = this.#createKeyedCalls(this.forwarder);
    const runner = new OnceCallRunner({ context, calls: this.keyedCalls });
    this.server = this.#createServer(context, runner);
  }

  #createContext(): IngressContext {
    const { settings, clock, logger, metrics, fleet, state } = this.#options;
    const { limits, requests } = settings;
    const budget = new RetryBudget(clock, {
      ...DEFAULT_RETRY_BUDGET_SETTINGS,
      ratio: requests.retryBudgetRatio,
    });
    return new IngressContext({
      authenticator: new Authenticator(),
      callRegistry: this.callRegistry,
      limits: { ...limits, ...requests },
      clock,
      findConfiguration: () => fleet.findConfiguration(),
      findRefusalKind: () => state.findRefusalKind(),
      environment: {
        dispatcher: this.dispatcher,
        client: fleet.endpoints,
        retries: new BudgetedRetryPolicy(budget, fleet.random),
        clock,
        logger: logger.forPart("ingress"),
        metrics: metrics.ingress,
        limits: { ...requests, maximumPlainAnswerBytes: limits.bodyBytes },
        fleetKeys: settings.fleetKeys,
        findEndpoint: (endpoint) => fleet.store.current.endpoints.get(endpoint),
      },
    });
  }

  #createForwarder(
    runForwarded: ConstructorParameters<typeof KeyForwarder>[0]["runForwarded"],
  ): KeyForwarder {
    const { settings, clock, fleet } = this.#options;
    return new KeyForwarder({
      correlationPrefix: settings.vm + randomUUID(),
      sender: fleet.network,
      clock,
      isLive: (vm) => fleet.view.isLive(vm),
      isReachable: (vm) => fleet.view.isReachable(vm),
      runForwarded,
      timeoutMilliseconds: KEY_FORWARD_TIMEOUT_MILLISECONDS,
      resendMilliseconds: KEY_FORWARD_RESEND_MILLISECONDS,
    }, this.#signal);
  }

  #createKeyedCalls(forwarder: KeyForwarder): KeyedCalls {
    const { settings, clock, logger, fleet } = this.#options;
    const incarnation = randomUUID();
    const { table, objects } = fleet.platform;
    return new KeyedCalls({
      vm: settings.vm,
      incarnation,
      secret: generateKeySecret(),
      table,
      objects,
      writer: this.rowWriter,
      forwarder,
      clock,
      random: fleet.random,
      logger: logger.forPart("once"),
      limits: settings.once,
    }, this.#signal);
  }

  #createServer(context: IngressContext, runner: OnceCallRunner): CallerServer {
    const { settings, clock, logger, metrics, state, describeStatus } =
      this.#options;
    const { limits, requests, operatorKeyHashes } = settings;
    const memory: CallerMemory = new CallerMemory({
      maxBytes: limits.heldBytes,
      clock,
      logger: logger.forPart("caller"),
      countRelease: () => {},
      countAdded: (bytes) => buffers.record(bytes),
    });
    const buffers = new BufferCollector({ readHeldBytes: () => memory.bytes });
    return new CallerServer({
      host: settings.listen.host,
      port: settings.listen.callerPort,
      headerBytes: limits.headerBytes,
      headersTimeoutMilliseconds: limits.headersTimeoutMilliseconds,
      answers: {
        bufferBytes: limits.answerBufferBytes,
        stallTimeoutMilliseconds: requests.idleTimeoutMilliseconds,
      },
      memory,
      countError: (kind) => metrics.ingress.callerErrors.inc({ kind }),
      logger: logger.forPart("caller"),
      handlers: [
        new LivenessHandler(),
        new ReadinessHandler(() => state.findNotReadyReason()),
        new MetricsHandler(metrics.registry, operatorKeyHashes),
        new StatusHandler(describeStatus, operatorKeyHashes),
        new CompletionHandler(context),
        new ResumeHandler(context),
        new ModelsHandler(context),
        new KeysHandler(context, runner),
        new PlainHandler(context, runner),
      ],
    });
  }
}
