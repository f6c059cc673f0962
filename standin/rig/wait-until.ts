/**
 * Polls a condition until it holds.
 *
 * @packageDocumentation
 */

/** Long enough for a loaded machine; reached only when the condition fails. */
const TIMEOUT_MS = 60_000;
const POLL_MS = 20;

/** Waits until a condition holds. @throws Error with the description when it does not hold in time */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`timed out waiting for ${description}`);
}
