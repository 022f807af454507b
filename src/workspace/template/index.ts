import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import type { ClassName, PoolId } from "../../ids/index.js";
import type { ClassView } from "../workspaceView/index.js";

const MAX_CLASSES = 32;
const MAX_TIER = 6;
const numberOrParameter = z.union([z.number().min(0), z.string().regex(/^\$[a-zA-Z]\w*$/)]);

/**
 * A template as operators write it. A number or a pool may be a parameter's name with `$` before it; each workspace
 * then gives the value.
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
export type TemplateSpec = z.infer<typeof templateSpecSchema>;

/** A parameter's value in one workspace. */
export interface ParameterAssignment {
    readonly name: string;
    readonly value: number | string;
}

/** What a template gives with its parameters filled in. */
export interface WorkspaceProfile {
    readonly weight: number;
    readonly classes: readonly ClassView[];
    readonly defaultClass: ClassName;
    readonly pools: readonly PoolId[];
    readonly nonRepeatable: readonly PoolId[];
    readonly tokenLimit?: number;
}

/** A template, or a workspace's parameters, that make no sense. */
export class TemplateError extends Error {}

/**
 * Fills in a template's parameters.
 *
 * @param spec - The template.
 * @param assignments - The workspace's values; the template's defaults serve for the rest.
 * @returns The profile, or what is wrong.
 * @example
 * resolveTemplate(spec, [{ name: "budget", value: 50_000 }]);
 */
export function resolveTemplate(
    spec: TemplateSpec,
    assignments: readonly ParameterAssignment[],
): Either<TemplateError, WorkspaceProfile> {
    try {
        return Right(new Resolver(spec, assignments).resolve());
    }
    catch (err) {
        if (err instanceof TemplateError) return Left(err);
        throw err;
    }
}

class Resolver {
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
        const weight = this.readNumber("weight", spec.weight);
        if (weight <= 0) throw new TemplateError("weight must be above 0");
        return {
            weight,
            classes,
            defaultClass: spec.defaultClass as ClassName,
            pools: spec.pools.map(pool => this.readText(pool) as PoolId),
            nonRepeatable: spec.nonRepeatable.map(pool => this.readText(pool) as PoolId),
            ...(spec.tokenLimit === undefined ? {} : { tokenLimit: this.readNumber("tokenLimit", spec.tokenLimit) }),
        };
    }

    private resolveClass(spec: TemplateSpec["classes"][number]): ClassView {
        const guaranteedShare = this.readNumber("guaranteedShare", spec.guaranteedShare);
        if (guaranteedShare > 1) throw new TemplateError("guaranteedShare must be from 0 to 1");
        return {
            name: spec.name as ClassName,
            tier: spec.tier,
            firstTokenMs: this.readNumber("firstTokenMs", spec.firstTokenMs),
            tokenMs: this.readNumber("tokenMs", spec.tokenMs),
            maxWaitMs: this.readNumber("maxWaitMs", spec.maxWaitMs),
            guaranteedShare,
        };
    }

    private readNumber(field: string, given: number | string): number {
        const value = typeof given === "string" ? this.find(given) : given;
        if (typeof value !== "number" || !Number.isFinite(value) || value < 0) {
            throw new TemplateError(`${field} needs a number of at least 0, not ${value}`);
        }
        return value;
    }

    private readText(given: string): string {
        return given.startsWith("$") ? String(this.find(given)) : given;
    }

    private find(reference: string): number | string {
        const value = this.values.get(reference.slice(1));
        if (value === undefined) throw new TemplateError(`the parameter ${reference.slice(1)} has no value`);
        return value;
    }
}
