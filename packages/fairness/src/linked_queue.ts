/** A queue in order of arrival that supports removal from the middle. */

import type { Comparator } from "./binary_heap.ts";

/** Nodes that are examined from each end to find an item's position. */
const MAX_SEARCHED_NODES = 32;

interface ListNode<Item> {
  item: Item;
  previous: ListNode<Item> | undefined;
  next: ListNode<Item> | undefined;
}

/** Handle to an item's place in the queue, returned by `add`. */
export type QueuePlace<Item> = ListNode<Item>;

/**
 * A doubly linked list. A Map would keep insertion order too, but finding its
 * first key iterates over all deleted ones.
 */
export class LinkedQueue<Item> {
  readonly #compare: Comparator<Item>;
  #head: ListNode<Item> | undefined;
  #tail: ListNode<Item> | undefined;
  #size = 0;

  constructor(compare: Comparator<Item>) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item behind all items that do not sort after it. Examines only a
   * few nodes from each end, so that adding takes constant time; an item that
   * belongs further inside may be placed a little too early.
   */
  add(item: Item): QueuePlace<Item> {
    const previous = this.#findPrevious(item);
    const next = previous === undefined ? this.#head : previous.next;
    const node: ListNode<Item> = { item, previous, next };
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

  /** Removes the item at a place, which must belong to this queue. */
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

  #findPrevious(item: Item): ListNode<Item> | undefined {
    let node = this.#tail;
    for (let step = 0; step < MAX_SEARCHED_NODES; step++) {
      if (node === undefined || this.#compare(node.item, item) <= 0) {
        return node;
      }
      node = node.previous;
    }
    let next = this.#head;
    for (let step = 0; step < MAX_SEARCHED_NODES; step++) {
      if (next === undefined || this.#compare(next.item, item) > 0) {
        return next?.previous;
      }
      next = next.next;
    }
    return node;
  }

  /** Iterates over the items from the oldest to the newest. */
  *[Symbol.iterator](): Generator<Item> {
    for (let node = this.#head; node !== undefined; node = node.next) {
      yield node.item;
    }
  }
}
