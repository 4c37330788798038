/** An indexed binary min-heap that supports removal and re-ordering of items. */

interface Slot<Item> {
  item: Item;
  index: number;
}

/** Compares two items; a negative result puts the first one earlier. */
export type Comparator<Item> = (first: Item, second: Item) => number;

/**
 * Gives constant-time access to the lowest item. Adding, removing and updating
 * take logarithmic time.
 */
export class BinaryHeap<Item extends object> {
  readonly #compare: Comparator<Item>;
  readonly #slots: Slot<Item>[] = [];
  readonly #slotByItem = new Map<Item, Slot<Item>>();

  constructor(compare: Comparator<Item>) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#slots.length;
  }

  /** The lowest item; undefined when the heap is empty. */
  get first(): Item | undefined {
    return this.#slots[0]?.item;
  }

  has(item: Item): boolean {
    return this.#slotByItem.has(item);
  }

  /** Adds an item; does nothing when the heap already contains it. */
  add(item: Item): void {
    if (this.#slotByItem.has(item)) {
      return;
    }
    const slot = { item, index: this.#slots.length };
    this.#slots.push(slot);
    this.#slotByItem.set(item, slot);
    this.#siftUp(slot);
  }

  /** Removes an item; returns whether the heap contained it. */
  remove(item: Item): boolean {
    const slot = this.#slotByItem.get(item);
    if (slot === undefined) {
      return false;
    }
    this.#slotByItem.delete(item);
    const last = this.#slots.pop() as Slot<Item>;
    if (last !== slot) {
      this.#place(last, slot.index);
      this.#siftUp(last);
      this.#siftDown(last);
    }
    return true;
  }

  /** Removes and returns the lowest item; undefined when the heap is empty. */
  removeFirst(): Item | undefined {
    const first = this.first;
    if (first !== undefined) {
      this.remove(first);
    }
    return first;
  }

  /** Restores the heap order after the sort key of an item has changed. */
  update(item: Item): void {
    const slot = this.#slotByItem.get(item);
    if (slot === undefined) {
      return;
    }
    this.#siftUp(slot);
    this.#siftDown(slot);
  }

  #place(slot: Slot<Item>, index: number): void {
    this.#slots[index] = slot;
    slot.index = index;
  }

  #siftUp(slot: Slot<Item>): void {
    while (slot.index > 0) {
      const parent = this.#slots[(slot.index - 1) >> 1] as Slot<Item>;
      if (this.#compare(parent.item, slot.item) <= 0) {
        return;
      }
      this.#swap(parent, slot);
    }
  }

  #siftDown(slot: Slot<Item>): void {
    for (;;) {
      const child = this.#findSmallerChild(slot.index);
      if (child === undefined || this.#compare(slot.item, child.item) <= 0) {
        return;
      }
      this.#swap(slot, child);
    }
  }

  #findSmallerChild(index: number): Slot<Item> | undefined {
    const left = this.#slots[2 * index + 1];
    const right = this.#slots[2 * index + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return this.#compare(left.item, right.item) <= 0 ? left : right;
  }

  #swap(first: Slot<Item>, second: Slot<Item>): void {
    const index = first.index;
    this.#place(first, second.index);
    this.#place(second, index);
  }
}
