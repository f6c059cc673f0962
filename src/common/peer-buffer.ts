/**
 * Names of the buffers that a peer can fill, and the report of a peer that has exceeded the limit of one.
 *
 * @packageDocumentation
 */

/**
 * A buffer that a peer can fill. `message`: one message; `requests`: requests that wait for an earlier one; `answer`:
 * the rows of one answer of a member; `session`: the values and prepared names of a session; `unsent`: replies that the
 * client does not read; `response`: the body of an HTTP response; `startup`: a connection on which the client has opened
 * no session in time.
 */
export type PeerBuffer = 'startup' | 'message' | 'requests' | 'answer' | 'session' | 'unsent' | 'response';

/** Reports that a peer has exceeded the limit of a buffer. */
export type OverrunReport = (buffer: PeerBuffer, peer: string) => void;

/** Discards all reports. */
export const IGNORED_OVERRUNS: OverrunReport = () => undefined;
