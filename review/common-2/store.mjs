/** Stand-in of the platform's store: rows, feed and transactions, in memory. */

import { createServer } from "node:http";

export class Store {
  #rows = new Map();
  #log = [];
  #version = 1;
  #waiters = new Set();
  #server = createServer((request, response) =>
    void this.#handle(request, response)
  );

  async start(host) {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.#server.unref();
    return `${host}:${this.#server.address().port}`;
  }

  /** Writes a row as the operator or a server does. */
  write(table, key, body) {
    const value = Buffer.from(JSON.stringify(body)).toString("base64");
    this.#commit([{ table, key, value }], []);
  }

  remove(table, key) {
    this.#commit([], [{ table, key }]);
  }

  has(table, key) {
    return this.#rows.has(`${table}/${key}`);
  }

  #commit(writes, removals) {
    this.#version++;
    for (const { table, part = "", key, value } of writes) {
      const row = { table, part, key, value, row_ver: this.#version };
      this.#rows.set(`${table}/${key}`, row);
      this.#log.push(row);
    }
    for (const { table, part = "", key } of removals) {
      if (this.#rows.delete(`${table}/${key}`)) {
        const row_ver = this.#version;
        this.#log.push({ table, part, key, row_ver, deleted: true });
      }
    }
    for (const wake of [...this.#waiters]) {
      wake();
    }
  }

  async #handle(request, response) {
    let body = "";
    for await (const chunk of request) {
      body += chunk;
    }
    const url = new URL(request.url, "http://store");
    const table = url.searchParams.get("table");
    switch (url.pathname) {
      case "/v1/rows-get":
        return this.#sendRows(response, table, url.searchParams.get("from"));
      case "/v1/rows-feed":
        return await this.#sendChanges(response, table, url.searchParams);
      case "/v1/rows-tx":
        return this.#runTransaction(response, JSON.parse(body));
      default:
        return this.#send(response, 404, {});
    }
  }

  #sendRows(response, table, from) {
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= (from ?? ""))
      .sort((first, second) => first.key < second.key ? -1 : 1);
    this.#send(response, 200, { rows, has_more: false });
  }

  async #sendChanges(response, table, parameters) {
    const after = Number(parameters.get("after"));
    const endsAt = Date.now() + Number(parameters.get("block_ms"));
    const list = () =>
      this.#log.filter((row) => row.table === table && row.row_ver > after);
    while (list().length === 0 && Date.now() < endsAt && !response.destroyed) {
      await this.#waitForCommit(endsAt - Date.now(), response);
    }
    this.#send(response, 200, { rows: list() });
  }

  #waitForCommit(milliseconds, response) {
    return new Promise((resolve) => {
      const wake = () => {
        this.#waiters.delete(wake);
        clearTimeout(timer);
        response.off("close", wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#waiters.add(wake);
      response.once("close", wake);
    });
  }

  #runTransaction(response, { expect_rev = [], write = [], remove = [] }) {
    const current = expect_rev.map(({ table, key }) =>
      this.#rows.get(`${table}/${key}`)
    );
    const holds = expect_rev.every(({ row_ver }, index) =>
      (current[index]?.row_ver ?? 0) === row_ver
    );
    if (!holds) {
      this.#send(response, 412, { rows: current.filter(Boolean) });
      return;
    }
    this.#commit(write, remove);
    this.#send(response, 200, {});
  }

  #send(response, status, body) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({
      ...body,
      row_ver: this.#version,
      now_ms: Math.round(performance.now()),
    }));
  }
}
