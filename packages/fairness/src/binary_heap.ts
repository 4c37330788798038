/** A binary heap that can move an item whose rank has changed. */

interface Slot<Item> {
  item: Item;
  index: number;
}

/** Orders two items: negative when the first comes out earlier. */
export type HeapOrder<Item> = (first: Item, second: Item) => number;

/** Keeps the lowest item at hand; every change takes logarithmic time. */
export class BinaryHeap<Item extends object> {
  readonly #order: HeapOrder<Item>;
  readonly #slots: Slot<Item>[] = [];
  readonly #slotOf = new Map<Item, Slot<Item>>();

  constructor(order: HeapOrder<Item>) {
    this.#order = order;
  }

  get size(): number {
    return this.#slots.length;
  }

  /** The lowest item; undefined when the heap is empty. */
  get first(): Item | undefined {
    return this.#slots[0]?.item;
  }

  has(item: Item): boolean {
    return this.#slotOf.has(item);
  }

  /** Adds an item; does nothing when it is there already. */
  add(item: Item): void {
    if (this.#slotOf.has(item)) {
      return;
    }
    const slot = { item, index: this.#slots.length };
    this.#slots.push(slot);
    this.#slotOf.set(item, slot);
    this.#moveUp(slot);
  }

  /** Takes an item out; returns whether it was there. */
  remove(item: Item): boolean {
    const slot = this.#slotOf.get(item);
    if (slot === undefined) {
      return false;
    }
    this.#slotOf.delete(item);
    const last = this.#slots.pop() as Slot<Item>;
    if (last !== slot) {
      this.#place(last, slot.index);
      this.#moveUp(last);
      this.#moveDown(last);
    }
    return true;
  }

  /** Takes the lowest item out. */
  removeFirst(): Item | undefined {
    const first = this.first;
    if (first !== undefined) {
      this.remove(first);
    }
    return first;
  }

  /** Restores the order after an item's rank has changed. */
  update(item: Item): void {
    const slot = this.#slotOf.get(item);
    if (slot === undefined) {
      return;
    }
    this.#moveUp(slot);
    this.#moveDown(slot);
  }

  #place(slot: Slot<Item>, index: number): void {
    this.#slots[index] = slot;
    slot.index = index;
  }

  #moveUp(slot: Slot<Item>): void {
    while (slot.index > 0) {
      const above = this.#slots[(slot.index - 1) >> 1] as Slot<Item>;
      if (this.#order(above.item, slot.item) <= 0) {
        return;
      }
      this.#swap(above, slot);
    }
  }

  #moveDown(slot: Slot<Item>): void {
    for (;;) {
      const below = this.#findLowerChild(slot.index);
      if (below === undefined || this.#order(slot.item, below.item) <= 0) {
        return;
      }
      this.#swap(slot, below);
    }
  }

  #findLowerChild(index: number): Slot<Item> | undefined {
    const left = this.#slots[2 * index + 1];
    const right = this.#slots[2 * index + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return this.#order(left.item, right.item) <= 0 ? left : right;
  }

  #swap(first: Slot<Item>, second: Slot<Item>): void {
    const index = first.index;
    this.#place(first, second.index);
    this.#place(second, index);
  }
}
