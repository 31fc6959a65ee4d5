/** Configuration document that the command `try` publishes. */
export interface TryDocument {
  readonly name: string;
  readonly content: string;
}

interface WorkloadTemplate {
  readonly name: string;
  readonly kind: string;
  readonly urgency: string;
  readonly idempotent: boolean;
  readonly taskCount: number;
}

function workloadTable(template: WorkloadTemplate): string {
  return `
[[workloads]]
name = "${template.name}"
kind = "${template.kind}"
urgency = "${template.urgency}"
worth = 10
idempotent = ${template.idempotent}
size = {processors = 2000, memory = 2048, accelerators = 0, slots = 1}
runTimeMs = ${template.kind === 'service' ? 0 : 200}
taskCount = ${template.taskCount}
startDeadlineMs = 0
zones = []
maximumPerRack = 0
`;
}

function teamDocument(
  name: string,
  client: string,
  templates: ReadonlyArray<WorkloadTemplate>,
): TryDocument {
  const content = `
name = "${name}"
clients = ["${client}"]
share = 1
queueLimit = 200
quota = {processors = 96000, memory = 196608, accelerators = 0, slots = 48}
${templates.map(workloadTable).join('')}`;
  return {name: `team/${name}`, content};
}

const FLEET = `
zones = [
  {name = "kigali-a", region = "kigali"},
  {name = "caerdydd-a", region = "caerdydd"},
]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, accelerators = 0, slots = 8}
zones = ["kigali-a", "caerdydd-a"]
`;

/** Configuration of both deployments, scaled down to one machine. */
export const TRY_DOCUMENTS: ReadonlyArray<TryDocument> = [
  {name: 'fleet', content: FLEET},
  teamDocument('dispatch', 'workshop', [
    {
      name: 'polish-order',
      kind: 'batch',
      urgency: 'normal',
      idempotent: false,
      taskCount: 1,
    },
    {
      name: 'inspection-run',
      kind: 'gang',
      urgency: 'normal',
      idempotent: true,
      taskCount: 3,
    },
    {
      name: 'kiln-watch',
      kind: 'service',
      urgency: 'normal',
      idempotent: true,
      taskCount: 2,
    },
  ]),
  teamDocument('office', 'solicitor-desk', [
    {
      name: 'certificate-batch',
      kind: 'batch',
      urgency: 'urgent',
      idempotent: false,
      taskCount: 1,
    },
    {
      name: 'route-plan',
      kind: 'batch',
      urgency: 'normal',
      idempotent: true,
      taskCount: 1,
    },
  ]),
];
