import { expect } from "chai";
import { describe, it } from "mocha";
import { type RemoteReport, RemoteTotals } from "./remote_totals.ts";

function createReport(
  sequence: number,
  service: number,
  term = 1,
): RemoteReport {
  return {
    sender: "z2/s@v",
    term: { number: term, holder: "v" },
    sequence,
    totals: [{ organisation: "a", service }],
  };
}

interface Case {
  title: string;
  reports: RemoteReport[];
  expected: number;
}

const CASES: Case[] = [
  {
    title: "returns the increase since the last report",
    reports: [createReport(1, 10), createReport(2, 25)],
    expected: 25,
  },
  {
    title: "ignores a duplicate report",
    reports: [createReport(1, 10), createReport(1, 10)],
    expected: 10,
  },
  {
    title: "ignores a report that arrives out of order",
    reports: [createReport(1, 10), createReport(3, 40), createReport(2, 20)],
    expected: 40,
  },
  {
    title: "makes up for a lost report",
    reports: [createReport(1, 10), createReport(5, 90)],
    expected: 90,
  },
  {
    title: "counts from 0 again after the sender's restart",
    reports: [createReport(1, 10), createReport(1, 7, 2)],
    expected: 17,
  },
  {
    title: "ignores a report of an earlier term",
    reports: [createReport(1, 10, 2), createReport(9, 700, 1)],
    expected: 10,
  },
  {
    title: "does not count service from before the first report",
    reports: [createReport(50, 1000), createReport(51, 1010)],
    expected: 10,
  },
  {
    title: "applies a downward correction",
    reports: [createReport(1, 100), createReport(2, 30)],
    expected: 30,
  },
];

describe("RemoteTotals", () => {
  for (const { title, reports, expected } of CASES) {
    it(title, () => {
      const totals = new RemoteTotals();
      let sum = 0;
      for (const report of reports) {
        for (const difference of totals.merge(report, 0)) {
          sum += difference.service;
        }
      }
      expect(sum).to.equal(expected);
    });
  }

  it("removes only senders that reported before the given time", () => {
    const totals = new RemoteTotals();
    totals.merge(createReport(1, 10), 100);
    totals.removeSilent(100);
    expect(totals.merge(createReport(2, 30), 200)).to.have.lengthOf(1);
    totals.removeSilent(201);
    expect(totals.merge(createReport(3, 90), 300)).to.have.lengthOf(0);
  });
});
