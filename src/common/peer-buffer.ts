/**
 * Names of the buffers that a peer can fill, and the report of a peer that has exceeded the limit of one.
 *
 * @packageDocumentation
 */

/**
 * A buffer that a peer can fill. `message`: one message; `requests`: requests that wait for an earlier one; `answer`:
 * the rows of one answer of a member; `session`: the values and prepared names of a session; `unsent`: replies that the
 * client does not read; `response`: the body of an HTTP response; `http_request`: a request to an HTTP server;
 * `startup`: a connection on which no session is opened.
 */
export type PeerBuffer =
  'message' | 'requests' | 'answer' | 'session' | 'unsent' | 'response' | 'http_request' | 'startup';

/** Reports that a peer has exceeded the limit of a buffer; called at most once for a connection. */
export type OverrunReport = (buffer: PeerBuffer, peer: string) => void;

/** Discards all reports. */
export const IGNORED_OVERRUNS: OverrunReport = () => undefined;
