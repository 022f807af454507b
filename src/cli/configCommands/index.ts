import { ChangeAnswer } from "../../control/index.js";
import { ChangeId, TemplateName, WorkspaceId } from "../../ids/index.js";
import { ParameterAssignment, TemplateSpec } from "../../workspace/index.js";
import { describeChangeAnswer } from "../_lib/describeChangeAnswer.js";
import { CHANGE_ID_OPTION, readRequiredWholeNumber, readTexts, readWholeNumber } from "../_lib/readOptions.js";
import { CliError, EXIT_USAGE } from "../cliError/index.js";
import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";

const REVISION_OPTION = {
    usage: "--revision <number>",
    description: "The revision that your edit was made against (shown by `show` and `list`)",
};
const LIMIT_OPTION = {
    usage: "--limit <tokens>",
    description: "Tokens in one usage window; without it the template's limit holds",
};

/** Commands that show and change templates and workspaces. */
export const configCommands: readonly CommandDefinition[] = [
    {
        usage: "template put <name>",
        description: "Make a template, or edit it by compare-and-set",
        options: [
            { usage: "--file <path>", description: "The template as JSON; - for the standard input" },
            { ...REVISION_OPTION, description: `${REVISION_OPTION.description}; 0 for a new template` },
            CHANGE_ID_OPTION,
        ],
        examples: [
            "sequoiamux template put butcher --file butcher.json --revision 0",
            "sequoiamux template show butcher --json > butcher.json",
        ],
        run: putTemplate,
    },
    {
        usage: "template show <name>",
        description: "Show a template",
        options: [],
        examples: ["sequoiamux template show butcher"],
        run: showTemplate,
    },
    {
        usage: "template list",
        description: "List the templates",
        options: [],
        examples: ["sequoiamux template list --json"],
        run: listTemplates,
    },
    {
        usage: "workspace create <id>",
        description: "Make a workspace from a template",
        options: [
            { usage: "--template <name>", description: "The template" },
            { usage: "--param <name=value>", description: "A parameter of the template; may be repeated" },
            LIMIT_OPTION,
            CHANGE_ID_OPTION,
        ],
        examples: ["sequoiamux workspace create keflavik-school --template butcher --param weight=2 --limit 500000"],
        run: createWorkspace,
    },
    {
        usage: "workspace show <id>",
        description: "Show a workspace as entries see it",
        options: [],
        examples: ["sequoiamux workspace show keflavik-school"],
        run: showWorkspace,
    },
    {
        usage: "workspace list",
        description: "List the workspaces",
        options: [],
        examples: ["sequoiamux workspace list"],
        run: listWorkspaces,
    },
    {
        usage: "workspace limit <id>",
        description: "Set a workspace's token limit",
        options: [LIMIT_OPTION, REVISION_OPTION, CHANGE_ID_OPTION],
        examples: ["sequoiamux workspace limit keflavik-school --limit 750000 --revision 42"],
        run: limitWorkspace,
    },
    {
        usage: "workspace remove <id>",
        description: "Remove a workspace and withdraw its keys",
        options: [REVISION_OPTION, CHANGE_ID_OPTION],
        examples: ["sequoiamux workspace remove keflavik-school --revision 42"],
        run: removeWorkspace,
    },
];

async function putTemplate([name]: readonly string[], options: CommandOptions, context: CommandContext): Promise<void> {
    const [file] = readTexts(options.file);
    if (file === undefined) throw new CliError("--file is missing", EXIT_USAGE);
    const input = parseJson(await context.readFile(file), file);
    await submitChange(context, options, author => ({
        kind: "template.put",
        ...author,
        name: name as TemplateName,
        // Accepts the output of `template show --json`, which has the template under `spec`, so that it can be edited and put.
        spec: input.spec ?? input as unknown as TemplateSpec,
        base: readWholeNumber(options.revision, "--revision") ?? 0,
    }), `template ${name}`);
}

async function showTemplate([name]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const template = await context.operatorApi.call(client => client.template.query(name));
    context.output.printRecord(template, [
        `template ${template.name}, revision ${template.revision}, by ${template.operator}`,
        JSON.stringify(template.spec, undefined, 4),
    ]);
}

async function listTemplates(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const templates = await context.operatorApi.call(client => client.templates.query());
    context.output.printTable(templates, [
        { title: "NAME", read: row => row.name },
        { title: "REVISION", read: row => row.revision },
        { title: "BY", read: row => row.operator },
        { title: "CLASSES", read: row => row.spec.classes.map(each => each.name).join(",") },
    ]);
}

async function createWorkspace(
    [id]: readonly string[],
    options: CommandOptions,
    context: CommandContext,
): Promise<void> {
    const [template] = readTexts(options.template);
    if (template === undefined) throw new CliError("--template is missing", EXIT_USAGE);
    await submitChange(context, options, author => ({
        kind: "workspace.create",
        ...author,
        id: id as WorkspaceId,
        template: template as TemplateName,
        parameters: readTexts(options.param).map(readParameter),
        tokenLimit: readWholeNumber(options.limit, "--limit"),
    }), `workspace ${id}`);
}

async function showWorkspace([id]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const workspace = await context.operatorApi.call(client => client.workspace.query(id));
    const { view } = workspace;
    context.output.printRecord(workspace, [
        `workspace ${id}, template ${workspace.template}, revision ${workspace.revision}, by ${workspace.operator}`,
        `weight ${view.weight}, token limit ${view.tokenLimit ?? "none"}, default class ${view.defaultClass}`,
        `pools ${view.pools.join(", ") || "all"}; not repeatable: ${view.nonRepeatable.join(", ") || "none"}`,
        ...view.classes.map(each =>
            `class ${each.name}: tier ${each.tier}, first token ${each.firstTokenMs} ms, token ${each.tokenMs} ms, `
            + `wait ${each.maxWaitMs} ms, share ${each.guaranteedShare}`
        ),
    ]);
}

async function listWorkspaces(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const workspaces = await context.operatorApi.call(client => client.workspaces.query());
    context.output.printTable(workspaces, [
        { title: "ID", read: row => row.id },
        { title: "TEMPLATE", read: row => row.template },
        { title: "REVISION", read: row => row.revision },
        { title: "LIMIT", read: row => row.tokenLimit },
        { title: "BY", read: row => row.operator },
    ]);
}

async function limitWorkspace(
    [id]: readonly string[],
    options: CommandOptions,
    context: CommandContext,
): Promise<void> {
    await submitChange(context, options, author => ({
        kind: "workspace.limit",
        ...author,
        id: id as WorkspaceId,
        tokenLimit: readWholeNumber(options.limit, "--limit"),
        base: readRequiredWholeNumber(options.revision, "--revision"),
    }), `workspace ${id}`);
}

async function removeWorkspace(
    [id]: readonly string[],
    options: CommandOptions,
    context: CommandContext,
): Promise<void> {
    await submitChange(context, options, author => ({
        kind: "workspace.remove",
        ...author,
        id: id as WorkspaceId,
        base: readRequiredWholeNumber(options.revision, "--revision"),
    }), `workspace ${id}`);
}

async function submitChange(
    context: CommandContext,
    options: CommandOptions,
    buildChange: (
        author: { changeId: ChangeId; operator: string; },
    ) => Parameters<typeof context.operatorApi.change>[0],
    subject: string,
): Promise<void> {
    const changeId = (readTexts(options.changeId)[0] ?? context.random.id()) as ChangeId;
    const answer: ChangeAnswer = await context.operatorApi.change(
        buildChange({ changeId, operator: context.operator }),
    );
    context.output.printRecord(answer, [describeChangeAnswer(subject, answer)]);
}

function readParameter(text: string): ParameterAssignment {
    const [, name, value] = /^(\w+)=(.*)$/.exec(text) ?? [];
    if (name === undefined) throw new CliError(`--param needs name=value, not "${text}"`, EXIT_USAGE);
    const isNumber = value !== "" && Number.isFinite(Number(value));
    return { name, value: isNumber ? Number(value) : value };
}

function parseJson(text: string, path: string): { readonly spec?: TemplateSpec; } {
    try {
        return JSON.parse(text) as { spec?: TemplateSpec; };
    }
    catch (err) {
        throw new CliError(`${path}: ${(err as Error).message}`);
    }
}
