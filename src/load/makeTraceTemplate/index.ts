import { TemplateSpec } from "../../workspace/index.js";
import { TraceHeader } from "../trace/index.js";

/** Template parameter with which each workspace of a trace sets its weight. */
export const WEIGHT_PARAMETER = "weight";

/**
 * Makes the template for the workspaces of a trace, with the trace's classes and its services marked as non-repeatable.
 *
 * @param header - Header of the trace.
 * @returns A template with the parameter `weight`.
 */
export function makeTraceTemplate(header: TraceHeader): TemplateSpec {
    return {
        parameters: [{ name: WEIGHT_PARAMETER, default: 1 }],
        weight: `$${WEIGHT_PARAMETER}`,
        classes: header.classes.map(target => ({
            name: target.name,
            tier: target.tier,
            firstTokenMs: target.first_token_ms,
            tokenMs: target.token_ms,
            maxWaitMs: target.max_wait_ms,
            guaranteedShare: target.guaranteed_share,
        })),
        defaultClass: header.classes[header.classes.length - 1].name,
        pools: [...header.models, ...header.services],
        nonRepeatable: [...header.services],
    };
}
