/** Test fixtures of the ingress. */

import { createSilentLogger, ManualClock } from "@rattanvane/base";
import {
  type Endpoint,
  type Organisation,
  type Service,
  ServiceKind,
} from "@rattanvane/configuration";
import {
  type GrantMessage,
  type Message,
  MessageKind,
  MessageSender,
  PlacementReason,
  type PoolId,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import type { AttemptEnvironment } from "../ingress/attempt_environment.ts";
import { ActiveCallRegistry } from "../ingress/active_call_registry.ts";
import { Dispatcher } from "../ingress/dispatcher.ts";
import type { IngressCall } from "../ingress/ingress_call.ts";
import { CallEntry } from "../ingress/call_entry.ts";
import { RetryPolicy } from "../ingress/retry_policy.ts";
import { SchedulerDirectory } from "../ingress/scheduler_directory.ts";
import type { PoolStatus } from "@rattanvane/scheduling";
import { RouterMetrics } from "../router_metrics.ts";
import type { ScriptedEndpoint } from "./scripted_endpoint.ts";

/** The pool of all fixtures. */
export const POOL: PoolId = { zone: "zone-a", service: "assistant" };

/** The VM that initially schedules the pool. */
export const SCHEDULER = "vm-a1";

/** The VM whose ingress is under test. */
export const SELF = "vm-a2";

const DEADLINE_MILLISECONDS = 60_000;
const MAXIMUM_RETRIES = 5;

/** A message that a RecordingSender received. */
export interface SentMessage {
  vm: VmId;
  message: Message;
}

/** Records sent messages instead of sending them. */
export class RecordingSender extends MessageSender {
  readonly sent: SentMessage[] = [];

  override send(vm: VmId, message: Message): void {
    this.sent.push({ vm, message });
  }

  override registerContact(): void {}

  /** Lists the messages of one kind. */
  list<Kind extends MessageKind>(
    kind: Kind,
  ): Extract<Message, { kind: Kind }>[] {
    return this.sent.map(({ message }) => message).filter(
      (message): message is Extract<Message, { kind: Kind }> =>
        message.kind === kind,
    );
  }
}

/** A scheduler directory whose results a test sets. */
export class FixedDirectory extends SchedulerDirectory {
  scheduler: VmId | undefined = SCHEDULER;
  reachable = true;
  term: Term = { number: 1, holder: SCHEDULER };

  override choosePool(): PoolId {
    return POOL;
  }

  override findScheduler(): VmId | undefined {
    return this.scheduler;
  }

  override isReachable(): boolean {
    return this.reachable;
  }

  override isSuperseded(_pool: PoolId, term: Term): boolean {
    return term.number < this.term.number;
  }
}

/** Allows a fixed number of retries, without delay. */
class LimitedRetryPolicy extends RetryPolicy {
  #remaining = MAXIMUM_RETRIES;

  override recordRequest(): void {}

  override takeRetry(): boolean {
    this.#remaining--;
    return this.#remaining >= 0;
  }

  override computeDelay(): number {
    return 0;
  }
}

/** A dispatcher with its test doubles. */
export interface IngressFixture {
  clock: ManualClock;
  sender: RecordingSender;
  directory: FixedDirectory;
  callRegistry: ActiveCallRegistry;
  dispatcher: Dispatcher;
}

/** Creates a dispatcher with test doubles for its dependencies. */
export function createIngress(): IngressFixture {
  const clock = new ManualClock();
  const sender = new RecordingSender();
  const directory = new FixedDirectory();
  const callRegistry = new ActiveCallRegistry();
  const dispatcher = new Dispatcher({
    self: SELF,
    callRegistry,
    directory,
    sender,
    clock,
    logger: createSilentLogger(),
  });
  return { clock, sender, directory, callRegistry, dispatcher };
}

/** Creates an environment whose attempts go to one scripted endpoint. */
export function createEnvironment(
  ingress: IngressFixture,
  client: ScriptedEndpoint,
): AttemptEnvironment {
  return {
    dispatcher: ingress.dispatcher,
    client,
    retries: new LimitedRetryPolicy(),
    clock: ingress.clock,
    logger: createSilentLogger(),
    metrics: new RouterMetrics(ingress.clock).ingress,
    limits: {
      firstByteTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
      maximumPlainAnswerBytes: 1_000,
    },
    fleetKeys: ["a fleet key for tests with enough characters"],
    findEndpoint: createEndpoint,
  };
}

/** Creates a call and adds it to the ledger. */
export function createEntry(
  ingress: IngressFixture,
  options: { request?: string; body?: string } = {},
): CallEntry {
  const call: IngressCall = {
    request: options.request ?? "request-1",
    organisation: createOrganisation(),
    service: createService(ServiceKind.Model),
    method: "POST",
    path: "/v1/completions",
    headers: [],
    body: new TextEncoder().encode(options.body ?? ""),
    deadlineAt: ingress.clock.now() + DEADLINE_MILLISECONDS,
    hintedCost: 0,
    fingerprint: "fingerprint",
    prefix: "",
  };
  const entry = new CallEntry(call, ingress.clock.now());
  ingress.callRegistry.add(entry);
  return entry;
}

/** Creates a grant for a request. */
export function createGrant(
  options: { request?: string; attempt?: string; endpoint?: string } = {},
): GrantMessage {
  return {
    kind: MessageKind.Grant,
    pool: POOL,
    term: { number: 1, holder: SCHEDULER },
    request: options.request ?? "request-1",
    attempt: options.attempt ?? "attempt-1",
    endpoint: options.endpoint ?? "engine-1",
    chargedCost: 100,
    reason: PlacementReason.LeastLoaded,
  };
}

/** Creates an organisation that is allowed to use the service. */
export function createOrganisation(): Organisation {
  return {
    name: "bakery",
    weight: 1,
    keyHashes: [],
    services: ["assistant"],
    queueLimit: 100,
  };
}

/** Creates the service that all fixtures use. */
export function createService(kind: ServiceKind): Service {
  return {
    name: "assistant",
    kind,
    repeatRules: [],
    initialCostEstimate: 100,
  };
}

function createEndpoint(name: string): Endpoint {
  return {
    name,
    zone: POOL.zone,
    service: POOL.service,
    url: "http://127.0.0.1:1",
    coldLimit: 1,
    limitCeiling: 8,
    drained: false,
    checksFencing: false,
  };
}

/** Creates metrics for the given pools; all other gauges read zero. */
export function createMetrics(
  clock: ManualClock,
  pools: PoolStatus[] = [],
): RouterMetrics {
  const readZero = () => 0;
  const metrics = new RouterMetrics(clock);
  metrics.registerGauges({
    countWaiting: readZero,
    countRunning: readZero,
    listPools: () => pools,
    countQuarantined: readZero,
    countLiveVms: readZero,
    readConfigurationVersion: readZero,
    readTraffic: () => ({
      sentBytes: 0,
      receivedBytes: 0,
      sentMessages: 0,
      receivedMessages: 0,
      droppedMessages: 0,
      rejectedMessages: 0,
      lostLinks: 0,
    }),
  });
  return metrics;
}
