const CRASH_HINT = "[crash]";

/**
 * Whether a prompt or a call's body crashes the emulated upstream that runs it, as some requests crash real upstreams.
 *
 * @example
 * hasCrashHint("Cuts for Friday [crash]"); // true
 */
export function hasCrashHint(text: string): boolean {
    return text.includes(CRASH_HINT);
}
