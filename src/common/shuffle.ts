/**
 * Random permutation.
 *
 * @packageDocumentation
 */

/** A copy in random order (Fisher and Yates); `random` returns uniform numbers in [0, 1). */
export function shuffle<Item>(items: readonly Item[], random: () => number): Item[] {
  const shuffled = [...items];
  for (let i = shuffled.length - 1; i > 0; i -= 1) {
    const j = Math.floor(random() * (i + 1));
    const item = shuffled[i] as Item;
    shuffled[i] = shuffled[j] as Item;
    shuffled[j] = item;
  }
  return shuffled;
}
