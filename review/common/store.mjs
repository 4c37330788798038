/** Stand-in of the platform's metadata store: rows, feed and transactions. */

import { createServer } from "node:http";

const MAX_ROWS = 500;

/** Keeps rows in memory and answers the row calls of the published protocol. */
export class Store {
  #rows = new Map();
  #log = [];
  #version = 1;
  #waiters = new Set();
  #server = createServer((request, response) =>
    this.#handle(request, response)
  );
  /** Set by a script: how the store treats calls (undefined: normally). */
  disturb = undefined;

  async listen(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    const { address, port } = this.#server.address();
    return `${address}:${port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or a server does; returns its version. */
  write(table, key, body) {
    const value = Buffer.from(JSON.stringify(body)).toString("base64");
    return this.#commit([{ table, part: "", key, value }], []);
  }

  remove(table, key) {
    return this.#commit([], [{ table, part: "", key }]);
  }

  #commit(write, remove) {
    this.#version++;
    for (const { table, part = "", key, value } of write) {
      const row = { table, part, key, value, row_ver: this.#version };
      this.#rows.set(`${table}\n${part}\n${key}`, row);
      this.#log.push(row);
    }
    for (const { table, part = "", key } of remove) {
      if (this.#rows.delete(`${table}\n${part}\n${key}`)) {
        const row_ver = this.#version;
        this.#log.push({ table, part, key, row_ver, deleted: true });
      }
    }
    for (const wake of [...this.#waiters]) {
      wake();
    }
    return this.#version;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, "http://store");
    const disturbance = this.disturb?.(request, url);
    if (disturbance !== undefined) {
      disturbance(response);
      return;
    }
    const query = url.searchParams;
    switch (url.pathname) {
      case "/v1/rows-get":
        return this.#get(query, response);
      case "/v1/rows-feed":
        return await this.#feed(query, request, response);
      case "/v1/rows-tx":
        return this.#transact(JSON.parse(Buffer.concat(chunks)), response);
      default:
        return this.#send(response, 404, {});
    }
  }

  #get(query, response) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const most = Math.min(MAX_ROWS, Number(query.get("max_items") ?? MAX_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) =>
        row.table === table && row.part === part && row.key >= from
      )
      .sort((first, second) => first.key < second.key ? -1 : 1);
    this.#send(response, 200, {
      rows: rows.slice(0, most),
      has_more: rows.length > most,
    });
  }

  async #feed(query, request, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const endsAt = Date.now() + Number(query.get("block_ms") ?? 0);
    const find = () =>
      this.#log.filter((row) => row.table === table && row.row_ver > after);
    while (find().length === 0 && Date.now() < endsAt && !response.destroyed) {
      await this.#waitForChange(endsAt - Date.now(), response);
    }
    this.#send(response, 200, { rows: find() });
  }

  #waitForChange(milliseconds, response) {
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

  #transact({ expect_rev = [], write = [], remove = [] }, response) {
    const isOperators = [...write, ...remove].some(({ table }) =>
      table === "op" || table === "servers"
    );
    if (isOperators) {
      return this.#send(response, 403, {});
    }
    const isCurrent = expect_rev.every(({ table, part = "", key, row_ver }) =>
      (this.#rows.get(`${table}\n${part}\n${key}`)?.row_ver ?? 0) === row_ver
    );
    if (!isCurrent) {
      return this.#send(response, 412, { rows: [] });
    }
    this.#commit(write, remove);
    this.#send(response, 200, {});
  }

  #send(response, status, body) {
    response.writeHead(status, { "content-type": "application/json" });
    const state = {
      row_ver: this.#version,
      now_ms: Math.round(performance.now()),
    };
    response.end(JSON.stringify({ ...body, ...state }));
  }
}
