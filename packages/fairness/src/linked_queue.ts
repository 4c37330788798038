/** A queue in the order of arrival with removal from the middle. */

import type { HeapOrder } from "./binary_heap.ts";

/** How many places are looked at from each end for an item's place. */
const SEARCHED_PLACES = 32;

interface Node<Item> {
  item: Item;
  previous: Node<Item> | undefined;
  next: Node<Item> | undefined;
}

/** Names a place in the queue; given by `add`. */
export type QueuePlace<Item> = Node<Item>;

/**
 * A doubly linked list. A Map in insertion order would do the same, but
 * finding its first key walks over all deleted ones.
 */
export class LinkedQueue<Item> {
  readonly #order: HeapOrder<Item>;
  #head: Node<Item> | undefined;
  #tail: Node<Item> | undefined;
  #size = 0;

  constructor(order: HeapOrder<Item>) {
    this.#order = order;
  }

  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item behind those that do not come after it. Looks at a few places
   * from each end only, so that it takes constant time; beyond that, items that
   * are added out of order may be a little early.
   */
  add(item: Item): QueuePlace<Item> {
    const previous = this.#findPrevious(item);
    const next = previous === undefined ? this.#head : previous.next;
    const node: Node<Item> = { item, previous, next };
    if (previous === undefined) {
      this.#head = node;
    } else {
      previous.next = node;
    }
    if (next === undefined) {
      this.#tail = node;
    } else {
      next.previous = node;
    }
    this.#size++;
    return node;
  }

  /** Takes a place out; it must be in this queue. */
  remove(place: QueuePlace<Item>): void {
    if (place.previous === undefined) {
      this.#head = place.next;
    } else {
      place.previous.next = place.next;
    }
    if (place.next === undefined) {
      this.#tail = place.previous;
    } else {
      place.next.previous = place.previous;
    }
    this.#size--;
  }

  #findPrevious(item: Item): Node<Item> | undefined {
    let node = this.#tail;
    for (let step = 0; step < SEARCHED_PLACES; step++) {
      if (node === undefined || this.#order(node.item, item) <= 0) {
        return node;
      }
      node = node.previous;
    }
    let next = this.#head;
    for (let step = 0; step < SEARCHED_PLACES; step++) {
      if (next === undefined || this.#order(next.item, item) > 0) {
        return next?.previous;
      }
      next = next.next;
    }
    return node;
  }

  /** The items from the oldest to the newest. */
  *[Symbol.iterator](): Generator<Item> {
    for (let node = this.#head; node !== undefined; node = node.next) {
      yield node.item;
    }
  }
}
