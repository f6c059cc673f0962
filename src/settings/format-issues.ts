/**
 * Formats schema validation issues as lines that state the path and what was expected.
 *
 * @packageDocumentation
 */

/** The fields of a validation issue that are shown. */
export interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Returns one line per issue: the path, then what was expected. */
export function formatIssues(root: string, issues: readonly SchemaIssue[]): readonly string[] {
  return issues.map(({ path, message }) => `${formatPath(root, path)}: ${message}`);
}

function formatPath(root: string, path: readonly PropertyKey[]): string {
  const parts = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`));
  return `${root}${parts.join('')}`;
}
