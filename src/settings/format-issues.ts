/**
 * Turns the findings of a schema check into lines that say where and what was expected.
 *
 * @packageDocumentation
 */

/** The part of a schema finding that is shown. */
export interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** One line for each finding: the path, then what was expected. */
export function formatIssues(root: string, issues: readonly SchemaIssue[]): readonly string[] {
  return issues.map(({ path, message }) => `${formatPath(root, path)}: ${message}`);
}

function formatPath(root: string, path: readonly PropertyKey[]): string {
  const parts = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`));
  return `${root}${parts.join('')}`;
}
