/** Who schedules a pool. */

export { rankVms } from "./rank_vms.ts";
export { TermBook } from "./term_book.ts";
