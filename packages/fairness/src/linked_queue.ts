/** A first-in, first-out queue with removal from the middle. */

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
  #head: Node<Item> | undefined;
  #tail: Node<Item> | undefined;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Adds an item at the end. */
  add(item: Item): QueuePlace<Item> {
    const node: Node<Item> = { item, previous: this.#tail, next: undefined };
    if (this.#tail === undefined) {
      this.#head = node;
    } else {
      this.#tail.next = node;
    }
    this.#tail = node;
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

  /** The items from the oldest to the newest. */
  *[Symbol.iterator](): Generator<Item> {
    for (let node = this.#head; node !== undefined; node = node.next) {
      yield node.item;
    }
  }
}
