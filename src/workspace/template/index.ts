import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import type { ClassName, PoolId } from "../../ids/index.js";
import type { ClassView } from "../workspaceView/index.js";

const MAX_CLASSES = 32;
const MAX_TIER = 6;
/** A number, or a reference to a parameter: its name after `$`. */
const numberOrParameter = z.union([z.number().min(0), z.string().regex(/^\$[a-zA-Z]\w*$/)]);

/**
 * Schema of a template as operators write it. A number or a pool may be a reference to a parameter, written `$name`; each workspace
 * provides the value.
 */
export const templateSpecSchema = z.looseObject({
    parameters: z.array(z.looseObject({
        name: z.string().regex(/^[a-zA-Z]\w*$/),
        default: z.union([z.number(), z.string()]).optional(),
    })),
    weight: numberOrParameter,
    classes: z.array(z.looseObject({
        name: z.string().min(1).max(64),
        tier: z.int().min(0).max(MAX_TIER),
        firstTokenMs: numberOrParameter,
        tokenMs: numberOrParameter,
        maxWaitMs: numberOrParameter,
        guaranteedShare: numberOrParameter,
    })).min(1).max(MAX_CLASSES),
    defaultClass: z.string(),
    pools: z.array(z.string().min(1)),
    nonRepeatable: z.array(z.string().min(1)),
    tokenLimit: numberOrParameter.optional(),
});
/** A template as operators write it. */
export type TemplateSpec = z.infer<typeof templateSpecSchema>;

/** A parameter's value in one workspace. */
export interface ParameterAssignment {
    readonly name: string;
    readonly value: number | string;
}

/** A template with its parameters replaced by a workspace's values. */
export interface WorkspaceProfile {
    readonly weight: number;
    readonly classes: readonly ClassView[];
    readonly defaultClass: ClassName;
    readonly pools: readonly PoolId[];
    readonly nonRepeatable: readonly PoolId[];
    readonly tokenLimit?: number;
}

/** A template or a workspace's parameters are invalid. */
export class TemplateError extends Error {}

/**
 * Resolves a template's parameters.
 *
 * @param spec - The template.
 * @param assignments - The workspace's values; parameters without one take the template's default.
 * @returns The profile, or the reason why it can't be resolved.
 * @example
 * resolveTemplate(spec, [{ name: "budget", value: 50_000 }]);
 */
export function resolveTemplate(
    spec: TemplateSpec,
    assignments: readonly ParameterAssignment[],
): Either<TemplateError, WorkspaceProfile> {
    try {
        return Right(new TemplateResolver(spec, assignments).resolve());
    }
    catch (err) {
        if (err instanceof TemplateError) return Left(err);
        throw err;
    }
}

class TemplateResolver {
    private readonly values = new Map<string, number | string>();

    constructor(private readonly spec: TemplateSpec, assignments: readonly ParameterAssignment[]) {
        for (const parameter of spec.parameters) {
            if (parameter.default !== undefined) this.values.set(parameter.name, parameter.default);
        }
        for (const { name, value } of assignments) {
            if (!spec.parameters.some(parameter => parameter.name === name)) {
                throw new TemplateError(`the template has no parameter ${name}`);
            }
            this.values.set(name, value);
        }
    }

    resolve(): WorkspaceProfile {
        const { spec } = this;
        const classes = spec.classes.map(each => this.resolveClass(each));
        const names = new Set(classes.map(each => each.name));
        if (names.size < classes.length) throw new TemplateError("two classes have the same name");
        if (!names.has(spec.defaultClass as ClassName)) {
            throw new TemplateError(`the default class ${spec.defaultClass} is not among the classes`);
        }
        const weight = this.resolveNumber("weight", spec.weight);
        if (weight <= 0) throw new TemplateError("weight must be above 0");
        return {
            weight,
            classes,
            defaultClass: spec.defaultClass as ClassName,
            pools: spec.pools.map(pool => this.resolveText(pool) as PoolId),
            nonRepeatable: spec.nonRepeatable.map(pool => this.resolveText(pool) as PoolId),
            ...(spec.tokenLimit === undefined ? {} : { tokenLimit: this.resolveNumber("tokenLimit", spec.tokenLimit) }),
        };
    }

    private resolveClass(spec: TemplateSpec["classes"][number]): ClassView {
        const guaranteedShare = this.resolveNumber("guaranteedShare", spec.guaranteedShare);
        if (guaranteedShare > 1) throw new TemplateError("guaranteedShare must be from 0 to 1");
        return {
            name: spec.name as ClassName,
            tier: spec.tier,
            firstTokenMs: this.resolveNumber("firstTokenMs", spec.firstTokenMs),
            tokenMs: this.resolveNumber("tokenMs", spec.tokenMs),
            maxWaitMs: this.resolveNumber("maxWaitMs", spec.maxWaitMs),
            guaranteedShare,
        };
    }

    private resolveNumber(field: string, numberOrReference: number | string): number {
        const value = typeof numberOrReference === "string" ? this.findValue(numberOrReference) : numberOrReference;
        if (typeof value !== "number" || !Number.isFinite(value) || value < 0) {
            throw new TemplateError(`${field} needs a number of at least 0, not ${value}`);
        }
        return value;
    }

    private resolveText(textOrReference: string): string {
        return textOrReference.startsWith("$") ? String(this.findValue(textOrReference)) : textOrReference;
    }

    private findValue(reference: string): number | string {
        const value = this.values.get(reference.slice(1));
        if (value === undefined) throw new TemplateError(`the parameter ${reference.slice(1)} has no value`);
        return value;
    }
}
