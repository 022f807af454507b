import { TemplateSpec } from "../../workspace/index.js";
import { TraceHeader } from "../trace/index.js";

/** The parameter by which each workspace of a trace gives its weight. */
export const WEIGHT_PARAMETER = "weight";

/**
 * The template that the workspaces of a trace are made from: its classes, and its services as non-repeatable.
 *
 * @param header - The trace's first line.
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
