/** Exit codes of the daemon, for its supervisor. */
export const EXIT_CODES = {
    /** Planned stop; no request was aborted. */
    ok: 0,
    /** Failure; the supervisor should restart the daemon. */
    failure: 1,
    /** Invalid settings or command line; a restart doesn't help. */
    usage: 2,
    /** Planned stop that reached the end of its grace period, or was forced by a second signal, with work in progress. */
    incomplete: 3,
    /** The data folder is damaged or in use; an operator must inspect it. */
    dataFolder: 4,
} as const;
