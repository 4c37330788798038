import { EndpointErrorKind } from "@rattanvane/platform";
import { AttemptOutcome, MessageKind } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { CallerError } from "../caller/caller_error.ts";
import type { IngressMetrics } from "../metrics/ingress_metrics.ts";
import {
  createEntry,
  createEnvironment,
  createGrant,
  createIngress,
  SCHEDULER,
} from "../testing/fixtures.ts";
import {
  formatEnd,
  formatToken,
  type ScriptedAnswer,
  ScriptedEndpoint,
} from "../testing/scripted_endpoint.ts";
import {
  CompletionForm,
  parseCompletionRequest,
} from "./completion_request.ts";
import { CompletionRun } from "./completion_run.ts";
import { CompletionSink } from "./completion_sink.ts";

const BODY = JSON.stringify({ model: "assistant", prompt: "a", stream: true });
const MAXIMUM_GRANTS = 40;

/** Records what the caller would receive. */
class RecordingSink extends CompletionSink {
  text = "";
  finished = false;
  error: CallerError | undefined;

  override startAttempt(): void {}

  override writeText(text: string): Promise<void> {
    this.text += text;
    return Promise.resolve();
  }

  override finish(): Promise<void> {
    this.finished = true;
    return Promise.resolve();
  }

  override fail(error: CallerError): Promise<void> {
    this.error = error;
    return Promise.resolve();
  }
}

interface RunResult {
  sink: RecordingSink;
  endpoint: ScriptedEndpoint;
  outcomes: AttemptOutcome[];
  metrics: IngressMetrics;
}

/**
 * Runs a completion against scripted responses; grants every queued request.
 */
async function runScript(
  answers: ScriptedAnswer[],
  resumes: ScriptedAnswer[] = [],
): Promise<RunResult> {
  const ingress = createIngress();
  const endpoint = new ScriptedEndpoint(answers, resumes);
  const sink = new RecordingSink();
  const entry = createEntry(ingress, { body: BODY });
  const environment = createEnvironment(ingress, endpoint);
  const run = new CompletionRun({
    environment,
    entry,
    request: parseCompletionRequest(CompletionForm.Text, entry.call.body),
    sink,
  });
  const finished = run.run(new AbortController().signal);
  for (let grant = 1; grant <= MAXIMUM_GRANTS; grant++) {
    ingress.dispatcher.handle(
      SCHEDULER,
      createGrant({ attempt: `attempt-${grant}`, endpoint: `engine-${grant}` }),
    );
    await ingress.clock.advance(1);
  }
  await finished;
  const outcomes = ingress.sender.list(MessageKind.Finish)
    .map((message) => message.outcome);
  return { sink, endpoint, outcomes, metrics: environment.metrics };
}

const STREAM = [formatToken(1, "one"), formatToken(2, " two"), formatEnd(2)];

describe("CompletionRun", () => {
  const cases: {
    title: string;
    answers: ScriptedAnswer[];
    resumes?: ScriptedAnswer[];
    sent: number;
  }[] = [
    {
      title: "a complete stream",
      answers: [{ parts: STREAM }],
      sent: 1,
    },
    {
      title: "an unreachable endpoint",
      answers: [{ error: EndpointErrorKind.NotSent }, { parts: STREAM }],
      sent: 2,
    },
    {
      title: "a crossed answer",
      answers: [{ error: EndpointErrorKind.CrossedAnswer }, { parts: STREAM }],
      sent: 2,
    },
    {
      title: "a server error",
      answers: [{ status: 500, parts: ["broken"] }, { parts: STREAM }],
      sent: 2,
    },
    {
      title: "duplicate events",
      answers: [{
        parts: [STREAM[0] ?? "", STREAM[0] ?? "", ...STREAM.slice(1)],
      }],
      sent: 1,
    },
    {
      title: "an interrupted stream, resumed at its offset",
      answers: [{ parts: STREAM.slice(0, 1), isTruncated: true }],
      resumes: [{ parts: STREAM.slice(1) }],
      sent: 1,
    },
    {
      title: "a missing final event, resumed",
      answers: [{ parts: STREAM.slice(0, 1) }],
      resumes: [{ parts: STREAM.slice(1) }],
      sent: 1,
    },
    {
      title: "a lost engine, continued at another",
      answers: [
        { parts: STREAM.slice(0, 1), isTruncated: true },
        { parts: STREAM.slice(1) },
      ],
      sent: 2,
    },
  ];
  for (const { title, answers, resumes, sent } of cases) {
    it(`delivers the complete answer after ${title}`, async () => {
      const { sink, endpoint, outcomes } = await runScript(answers, resumes);
      expect(sink.error).to.equal(undefined);
      expect(sink.text).to.equal("one two");
      expect(sink.finished).to.equal(true);
      expect(endpoint.requests).to.have.length(sent);
      expect(outcomes.at(-1)).to.equal(AttemptOutcome.Completed);
    });
  }

  it("continues after the text that was delivered", async () => {
    const { endpoint } = await runScript([
      { parts: STREAM.slice(0, 1), isTruncated: true },
      { parts: STREAM.slice(1) },
    ]);
    const body = endpoint.requests[1]?.body ?? new Uint8Array();
    const sent = JSON.parse(new TextDecoder().decode(body));
    expect(sent.continue_from).to.equal("one");
    expect(endpoint.resumedOffsets).to.deep.equal([1]);
  });

  it("ends with an error when no engine completes the stream", async () => {
    const broken = { parts: STREAM.slice(0, 1), breaks: true };
    const { sink, metrics } = await runScript(
      Array(MAXIMUM_GRANTS).fill(broken),
    );
    expect(sink.finished).to.equal(false);
    expect(sink.error?.outcome).to.equal("unknown");
    const errors = await metrics.callerErrors.get();
    expect(errors.values.map(({ labels, value }) => [labels.kind, value]))
      .to.deep.equal([[sink.error?.kind, 1]]);
    const retries = await metrics.retries.get();
    expect(retries.values[0]?.value).to.be.greaterThan(0);
  });

  it("reports an engine's rejection to the caller", async () => {
    const { sink, endpoint } = await runScript([
      { status: 400, parts: ["too many tokens"] },
    ]);
    expect(endpoint.requests).to.have.length(1);
    expect(sink.error?.message).to.contain("too many tokens");
    expect(sink.error?.outcome).to.equal("unknown");
  });
});
