/** Orders to an engine, with their fencing numbers. */

/** What an order asks for. */
export enum OrderAction {
  LoadModel = "loadModel",
  LoadAdapter = "loadAdapter",
  SetVersion = "setVersion",
  SetRole = "setRole",
}

/** An order as it came. */
export interface Order {
  fencing: number;
  action: OrderAction;
  target: string;
}

/** Whether an order was taken, and the newest fencing number seen. */
export interface OrderOutcome {
  accepted: boolean;
  fencing: number;
}

/** Takes orders; one that checks fencing refuses those that are too old. */
export class OrderBook {
  readonly #checksFencing: boolean;
  readonly #accepted: Order[] = [];
  #refused = 0;
  #newest = 0;

  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** The orders that took effect, the oldest first. */
  get accepted(): readonly Order[] {
    return this.#accepted;
  }

  /** How many orders were refused. */
  get refused(): number {
    return this.#refused;
  }

  /** Takes or refuses an order. */
  apply(order: Order): OrderOutcome {
    if (this.#checksFencing && order.fencing < this.#newest) {
      this.#refused++;
      return { accepted: false, fencing: this.#newest };
    }
    this.#newest = Math.max(this.#newest, order.fencing);
    this.#accepted.push(order);
    return { accepted: true, fencing: this.#newest };
  }
}
