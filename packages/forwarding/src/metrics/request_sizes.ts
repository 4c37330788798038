/** Ranks requests by size among the recent ones of their route. */

/** Where the size of a request stands among those of its route. */
export enum SizeRank {
  /** Too few requests are known, or they are all of one size. */
  Unknown = "unknown",
  Usual = "usual",
  /** The fifth below the largest tenth. */
  NextFifth = "nextFifth",
  LargestTenth = "largestTenth",
}

const KEPT_SIZES = 512;
const MIN_SIZES = 32;
/** The bounds are computed again after this many requests. */
const REFRESH_INTERVAL = 32;
const LARGEST_TENTH_QUANTILE = 0.9;
const NEXT_FIFTH_QUANTILE = 0.7;

interface RouteSizes {
  /** The latest sizes; the oldest one is overwritten next. */
  sizes: number[];
  count: number;
  nextFifthBound: number;
  largestTenthBound: number;
}

/** Keeps the sizes of the latest requests of each route. */
export class RequestSizes {
  readonly #routes = new Map<string, RouteSizes>();

  /** Adds a request's size and returns its rank. */
  rank(route: string, size: number): SizeRank {
    const known = this.#routes.get(route) ?? createRouteSizes();
    this.#routes.set(route, known);
    known.sizes[known.count % KEPT_SIZES] = size;
    known.count++;
    if (known.count >= MIN_SIZES && known.count % REFRESH_INTERVAL === 0) {
      updateBounds(known);
    }
    return pickRank(known, size);
  }

  /** Forgets routes that no longer exist. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#routes.keys()) {
      if (!routes.has(route)) {
        this.#routes.delete(route);
      }
    }
  }
}

function createRouteSizes(): RouteSizes {
  return {
    sizes: [],
    count: 0,
    nextFifthBound: Infinity,
    largestTenthBound: Infinity,
  };
}

function updateBounds(known: RouteSizes): void {
  const sorted = [...known.sizes].sort((first, second) => first - second);
  const readQuantile = (quantile: number) =>
    sorted[Math.floor(sorted.length * quantile)] as number;
  known.nextFifthBound = readQuantile(NEXT_FIFTH_QUANTILE);
  known.largestTenthBound = readQuantile(LARGEST_TENTH_QUANTILE);
}

function pickRank(
  { nextFifthBound, largestTenthBound }: RouteSizes,
  size: number,
): SizeRank {
  if (largestTenthBound === Infinity) {
    return SizeRank.Unknown;
  }
  if (size >= largestTenthBound) {
    return SizeRank.LargestTenth;
  }
  return size >= nextFifthBound ? SizeRank.NextFifth : SizeRank.Usual;
}
