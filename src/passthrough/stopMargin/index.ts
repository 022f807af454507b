import { CallContext } from "../callContext/index.js";
import { PreparedCall } from "../prepareCall/index.js";

/**
 * Whether a call will probably end before a planned stop ends it. Otherwise it is refused before it is sent: another host can run it,
 * while an answer that is cut is lost where the call may run once only.
 *
 * @example
 * if (!mayEndInTime(ctx, call)) return refuse(makeStoppingError(false));
 */
export function mayEndInTime(
    { clock, durations, timeLeftMs }: Pick<CallContext, "clock" | "durations" | "timeLeftMs">,
    { route, deadlineAt }: PreparedCall,
): boolean {
    const leftMs = timeLeftMs();
    if (deadlineAt - clock.monotonic() <= leftMs) return true;
    return (durations.usualMs(route.name) ?? 0) <= leftMs;
}
