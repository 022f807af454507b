/** How the daemon ends, for whoever supervises it. */
export const EXIT_CODES = {
    /** A planned stop in which no request was cut. */
    ok: 0,
    /** A fault; start it again. */
    fault: 1,
    /** The settings or the command line are wrong; starting it again is no use. */
    usage: 2,
    /** A planned stop that ran out of time with work under way. */
    cut: 3,
    /** The data folder is damaged or in use; an operator must look at it. */
    data: 4,
} as const;
